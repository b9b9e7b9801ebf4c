/* The control thread: what it knows from the store and from other poolers, what it publishes to the
 * workers, and, where this pooler is the coordinator, the control of all groups. Everything here
 * belongs to that thread. */
#ifndef SW_POOLER_CONTROL_INTERNAL_H
#define SW_POOLER_CONTROL_INTERNAL_H

#include <event2/event.h>
#include <glib.h>

#include "backend/clock.h"
#include "generated/messages.h"
#include "generated/pooler_settings.h"
#include "pooler/access/evidence.h"
#include "pooler/control/control.h"
#include "pooler/control/control_counts.h"
#include "pooler/control/database_control.h"
#include "pooler/control/directory.h"
#include "pooler/control/evacuation.h"
#include "pooler/control/failover.h"
#include "pooler/control/fleet.h"
#include "pooler/control/mirrors.h"
#include "pooler/shared/peer.h"
#include "pooler/control/probe_server.h"
#include "pooler/control/promotion.h"
#include "pooler/control/opinion.h"
#include "pooler/control/push_pace.h"
#include "pooler/control/store.h"
#include "pooler/control/zone_reachability.h"
#include "pooler/shared/view.h"
#include "pooler/worker/worker.h"

#define MS NANOSECONDS_PER_MILLISECOND

/* Bytes a second that a link of 1 Mbit/s carries. */
#define BYTES_PER_MEGABIT 125000.0

/* Heartbeats remembered, so that an answer is counted from its question's sending. */
#define HEARTBEATS_KEPT 16

/* Epochs of a coordinator start from its token, so that they are above any earlier one's. */
#define EPOCH_SHIFT 32

/* Tokens that are given out in an era of the store begin above all of the eras before, which the
 * store may have lost. Leaves capacity for a million holders in each of 4,096 eras. */
#define TOKEN_ERA_SHIFT 20

/* An earlier value of a row, from which the difference is told to those who have it. */
typedef struct past_value {
    uint64_t version;
    GBytes *value;
    GBytes *delta;      /* from it to the row's value; NULL: not made yet */
    GBytes *compressed; /* the same packed; NULL: not worth it, or not made yet */
} past_value_t;

/* One row of the store as last seen, kept to pass it on to poolers that the store turns away. */
struct known_row {
    char *key;
    uint64_t version;
    bool gone;
    GBytes *value;
    GBytes *compressed;     /* NULL: not worth it, or not packed yet */
    bool compression_tried; /* it was tried */
    uint64_t hash;          /* of the value; 0: not worked out yet */
    GQueue past;            /* of past_value_t, newest first, of large rows */
    time_ns learned_at;
};

/** @brief Versions up to which the two tables that others write are known. */
typedef struct row_versions {
    uint64_t configuration;
    uint64_t directory;
} row_versions_t;

/** @brief Who is told rows, as far as it matters for what is told. */
typedef struct relay_receiver {
    row_versions_t known;
    bool lacks_store;  /* the store does not answer it: large rows are told as well */
    bool takes_deltas; /* else rows are told whole */
} relay_receiver_t;

/** @brief Compressed messages of orders and members, one for each pair of versions that receivers
 * already know, so that many receivers get the same bytes. */
typedef struct news_cache {
    GPtrArray *entries; /* of packed_news_t (control_news.c); NULL: nothing yet */
    uint64_t orders;    /* version of the orders that all of them lead up to */
    uint64_t fleet;     /* the same of the members */
} news_cache_t;

/** @brief All rows of both tables, as one compressed message for every pooler that lacks them. */
typedef struct table_snapshot {
    GBytes *compressed;     /* NULL: not made yet */
    uint32_t length;        /* bytes before compression; 0: it is not compressed */
    row_versions_t through; /* it holds the tables up to these */
} table_snapshot_t;

/** @brief Whom this pooler asks for the store's tables, and who asks it. Starts from zeros. */
typedef struct mirrors {
    GPtrArray *known;  /* of struct pooler_mirror, as chosen here or told last; NULL: none */
    uint64_t version;  /* rises with each choice that changes them */
    size_t candidates; /* poolers to choose from, as of the last look */
    mirror_requests_t requests;
    char *last_address; /* the one that was asked last; NULL: none */
    struct peer *peer;  /* the connection to it; NULL: there is none */
    struct peer_callbacks callbacks;
    time_ns missing_since; /* see mirror_inputs_t; 0: nothing is lacking, or it is waited for */
    bool expected;         /* the tables come from mirrors: the store is left alone */
    GArray *pending;       /* questions to this one that wait; NULL: none has come yet */
    table_snapshot_t snapshot;
} mirrors_t;

/* What is known of one table. */
struct feed {
    struct control *control;
    enum store_table table;
    GHashTable *rows;         /* key -> struct known_row */
    uint64_t version;         /* changes are known up to this, and it never falls; 0: none are */
    bool history_gone;        /* the store no longer tells the changes since: it is read whole */
    uint64_t changed_version; /* highest of the rows */
    gsize largest;            /* value that a row has had, in bytes */
    time_ns as_of;            /* what is known was certainly the store's newest then; 0: never */
    time_ns last_answer_at;   /* when the store last answered this pooler about it; 0: never */
    bool calling;
    time_ns call_sent;
    call_reason_t reason; /* of the call that is on its way */
    time_ns next_at;
    time_ns
        standby_until; /* a follower asks again then, while the coordinator tells it; 0: at once */
    uint32_t failures; /* in a row */
    uint32_t history_failures; /* questions for changes that the store could not answer, in a row */
    bool missing;              /* another pooler knows more, which was too large to be told */
    time_ns list_at; /* it is read whole once more then, after a restore; 0: it need not be */
};

/** @brief What a pooler has told the coordinator of a group on this connection. */
typedef struct told_report {
    size_t faults;
    uint32_t in_flight;
} told_report_t;

/** @brief All that a group's published view is made of, as far as it changes. Equal inputs make
 *  an equal view. Compared as bytes. */
typedef struct view_inputs {
    uint64_t epoch;
    uint64_t owners;  /* revision; 0: no fleet is known */
    uint64_t members; /* digest of the directory's entries */
    uint64_t sharers; /* see pooled_group */
    uint32_t connections;
    uint32_t alone_connections;
    uint32_t sync_replicas;
    uint32_t keyed; /* clients have keys; also in place of padding, whose content is not certain */
} view_inputs_t;

/* Which database leads a group, by the newest order. */
struct group_state {
    struct group_shared *shared;
    uint64_t epoch;
    enum group_phase phase;
    char *primary;
    uint64_t term;
    told_report_t told;
    struct pooled_group *view; /* as last published, with one reference; NULL: not yet */
    view_inputs_t view_inputs; /* it was made of */
};

/* The lease of the coordinator. */
struct lease {
    uint64_t row_version; /* of the row as last seen; of number 0: there is none in this era */
    struct lease_record record; /* as last seen */
    bool held;
    uint64_t token; /* under which it is held */
    time_ns until;  /* the lease is good before this, by our clock */
    bool calling;
    bool invited; /* this pooler may take it now, and looks at once */
    time_ns next_at;
    time_ns clock_sent; /* bounds of the moment at which the store's clock was read */
    time_ns clock_received;
    uint64_t clock_ms;
    time_ns call_sent;
    uint64_t call_era;       /* whose row the call is about */
    uint64_t proposed_fleet; /* version of the fleet in that call */
    uint64_t proposed_token;
    time_ns free_since; /* it was first seen to be free; 0: it is not */
    bool releasing;
    uint64_t ceded_token; /* its holder has left the lease to us; 0: none has */
    uint64_t cessions;    /* leases that were left to us so far */
    time_ns answered_at;  /* when it was last taken or renewed */
};

/* A pooler as the coordinator knows it. */
struct pooler_peer {
    char *name;
    struct peer *peer; /* NULL while it is not connected */
    uint64_t incarnation;
    contact_t contact;
    time_ns permit_until; /* the last permit it was given ends by then */
    bool stopping;
    bool ended; /* its connection broke while it was well: its process has ended */
    uint32_t store_age_ms;
    char *zone;
    char *forward_address;
    uint32_t workers;
    uint32_t millicores;       /* processor that its machine grants */
    uint64_t fleet_told;       /* up to this version */
    uint64_t fleet_known;      /* the version that its last heartbeat told */
    time_ns fleet_known_as_of; /* which it sent after this; 0: not known */
    uint64_t orders_sent;      /* on this connection, up to this version */
    uint64_t orders_followed;  /* by all its workers, up to this version */
    row_versions_t known;     /* what it knows of the store's tables, once what was sent has come */
    row_versions_t confirmed; /* what it says that it knows */
    time_ns rows_wait_since;  /* it lacks rows that wait for the link; 0: it does not */
    time_ns unconfirmed_since; /* rows were sent that it has not confirmed; 0: it has */
    bool unconfirmed_logged;
    bool follows_store;      /* by itself, beside the coordinator */
    bool followed_store;     /* the same, before this choice of followers */
    bool lacks_store;        /* the store does not answer it */
    bool takes_deltas;       /* it takes rows that are told by their difference */
    bool takes_news;         /* it takes orders and members that are told packed */
    uint64_t followers_told; /* up to this version */
    uint64_t mirrors_told;   /* the same */
    char *peer_address;      /* where it takes messages of other poolers */
    GHashTable *reports;     /* service -> struct pooler_group_report, where there is something to
                                report */
};

/* A group as the coordinator controls it. */
struct controlled_group {
    struct control *control;
    struct failover *failover;
    GHashTable *connections;         /* database id -> struct database_control */
    uint64_t orders_version;         /* at its newest order */
    struct failover_opinion opinion; /* of the poolers, by the newest survey */
    uint32_t reporters;              /* poolers heard lately that report on it, by the same */
    uint32_t in_flight;              /* open at the primary, by the same */
    time_ns turn_at; /* its databases may be asked what can wait since then; 0: never yet */
    bool active;     /* something is under way: it is looked at each time */
    bool recording_done;
    bool retired; /* no longer under this coordinator */
};

/** Poolers of other zones that are asked for a sign of life at the same time. */
#define REACHABILITY_PINGS 2

/** @brief A connection to such a pooler, and the question on it. */
typedef struct reachability_ping {
    struct control *control;
    struct peer *peer; /* NULL while there is no connection */
    struct peer_callbacks callbacks;
    time_ns sent_at; /* when the open question was sent; 0: none is open */
} reachability_ping_t;

struct control {
    const struct pooler_settings *settings;
    struct event_base *base;
    struct event *tick;
    struct event *woken;
    struct event *terminated;
    struct event *reload;
    int wake;
    struct worker_shared shared;
    struct worker **workers;
    unsigned workers_count;
    struct probe_server *probes;
    struct store *store;
    struct promotion *promotion;
    struct directory directory;
    evacuations_t evacuations;
    bool directory_settled;        /* every living database has had the time to record itself */
    time_ns directory_known_since; /* and the store answers; 0: not yet */
    struct configuration *configuration;
    bool configuration_unread; /* the newest one could not be decoded */
    time_ns proven_at;         /* the configuration was the store's newest then; 0: never proven */
    store_clock_t store_clock;
    uint64_t store_era; /* the newest that the store or another pooler told */
    time_ns era_since;  /* some pooler has known of it since, at least */
    struct feed feeds[STORE_TABLE_COUNT];
    GHashTable *groups;  /* service -> struct group_state */
    GHashTable *members; /* database id -> struct member_shared, never removed */
    bool view_dirty;
    time_ns refreshed_at; /* the view was built anew for what changes with time alone */
    time_ns counted_at;   /* counts were logged */
    uint64_t incarnation;
    char *address;         /* where other poolers reach our peer listener */
    char *forward_address; /* and our listener for their statements */
    /* As a pooler under a coordinator. */
    struct peer *coordinator; /* connection, NULL for none */
    char *coordinator_address;
    char *connected_address; /* where the connection goes; NULL: nowhere */
    bool at_coordinator;     /* that is the coordinator's address */
    time_ns redirected_at;   /* a connection to another pooler was last left for it */
    uint64_t newest_token;
    uint64_t grant_stamp; /* of the newest grant on this connection; 0: none */
    uint64_t sequence;
    time_ns sent_at[HEARTBEATS_KEPT];
    time_ns heartbeat_at; /* next one */
    time_ns granted_at;
    time_ns answered_at; /* when any pooler last answered a heartbeat */
    time_ns connected_at;
    bool connect_now; /* the coordinator's address has changed */
    uint32_t fleet_count;
    uint64_t news_sent;          /* of the workers' news, those that were last told */
    uint64_t orders_received;    /* version up to which orders have come from this coordinator */
    uint64_t orders_view;        /* number of the view that holds them */
    uint64_t orders_reported;    /* version that was told as followed */
    uint64_t view_number;        /* of the newest view */
    uint64_t view_revision;      /* of the newest state of a group in a view */
    bool follows_store;          /* by itself, as the coordinator asked */
    bool relayed;                /* others told what the store holds, as of the last look */
    uint64_t orders_known;       /* version of the newest orders that any coordinator gave */
    bool introduced_self;        /* the pooler at the other end has been told who we are */
    unsigned next_address;       /* place in the order of addresses that are tried */
    time_ns nonauthoritative_at; /* another pooler last told what it follows of the store */
    bool start_answered;         /* another pooler has answered since the start */
    time_ns relayed_as_of;       /* what others told was the store's newest then; 0: nothing yet */
    time_ns relayed_valid_until; /* what others told of the store is relied on until then */
    row_versions_t coordinator_rows; /* what the coordinator knew of the store's tables */
    row_versions_t offered;          /* rows up to these were sent to it, and not confirmed yet */
    time_ns offered_at;
    double row_budget; /* that may be sent to other poolers now, beside all else on the link */
    time_ns row_budget_at;
    struct peer_callbacks coordinator_callbacks;
    zone_reachability_t zone_reachability;
    reachability_ping_t reachability_pings[REACHABILITY_PINGS];
    unsigned reachability_next;     /* place of the pooler that is asked next */
    time_ns reachability_due_at;    /* the next look at it, at the earliest */
    bool coordinator_in_other_zone; /* the connection is to a pooler of another zone */
    /* As the coordinator. */
    struct lease lease;
    time_ns coordinator_since;
    time_ns owed_until;      /* the permits of a coordinator that ceded its lease end by then */
    uint32_t members_before; /* poolers as counted before this lease; 0: not known */
    time_ns started_at;
    int listener;
    struct event *acceptable;
    struct peer_callbacks pooler_callbacks;
    GHashTable *poolers;    /* name -> struct pooler_peer */
    GHashTable *introduced; /* struct peer -> struct pooler_peer, not owned */
    GHashTable *listeners;  /* struct peer -> row_versions_t, sent and not confirmed yet */
    GPtrArray *connected;   /* of struct peer, accepted */
    GHashTable *controlled; /* service -> struct controlled_group */
    struct failover_actions failover_actions;
    uint64_t orders_version; /* rises with each order of any group; holds the lease's token */
    push_pace_t push_pace;
    news_cache_t news;                  /* as the coordinator tells it */
    news_cache_t nonauthoritative_news; /* as this pooler tells it in its place */
    bool push_wanted;       /* orders, owners or rows have changed that poolers are to be told */
    time_ns coordinated_at; /* the groups were last looked at */
    bool coordination_due;  /* and are to be looked at again as soon as may be */
    uint64_t orders_held;   /* followed by all poolers that may hold a permit, by the last survey */
    uint64_t orders_reached;    /* followed by all poolers, by the same */
    bool records_read;          /* of promotions, since the lease was taken */
    time_ns records_until;      /* they are waited for */
    time_ns records_again_at;   /* they are asked for again; 0: they are on their way, or known */
    uint64_t records_token;     /* they were asked for under this token */
    time_ns groups_looked_at;   /* all of them, last */
    control_counts_t counts;    /* since the start */
    fleet_t *fleet;             /* the poolers that share connections */
    roster_t *roster;           /* those of them that count operations; NULL: none is known */
    time_ns roster_valid_until; /* it is relied on until then */
    time_ns fleet_at;           /* when it is decided next */
    time_ns many_missing_since; /* many of it have been missing since then; 0: they are not */
    GHashTable *fresh;    /* of forward addresses: poolers heard lately, by this survey; empty until
                             asked for */
    bool rows_learned;    /* and not yet told to the poolers */
    time_ns followers_at; /* when the followers of the store were chosen */
    GPtrArray *followers; /* their peer addresses, as chosen here or told last */
    uint64_t followers_version; /* rises with each choice that changes them */
    mirrors_t mirrors;
};

/* control.c */
void control_wake_soon(struct control *control);

/* control_view.c */
/** @return true if the database is to be given new work. */
bool control_takes_work(const struct control *control, const struct directory_entry *entry,
                        time_ns now);
struct member_shared *control_member(struct control *control, const struct directory_entry *entry);
struct group_state *control_group(struct control *control, const char *service);
void control_publish(struct control *control);
/** @return true if other poolers hold the connections to the group's databases. */
bool control_view_forwards(const struct control *control, const struct service *service);
/** @return how many poolers share the databases' connections, by the newest that is known here: the
 *  coordinator's word, or the lease's row; 0 if neither is known. */
uint32_t control_fleet_size(const struct control *control);
/** @return connections to each database that every worker may open where nobody owns the group;
 *  0 while the size of the fleet is not known. */
uint32_t control_direct_share(const struct control *control, const struct service *service);
/* True if clients can be served. */
bool control_is_ready(const struct control *control);

/* control_era.c */
/** @brief The store, or another pooler, told this era.
 *  @param age for how long it has been known, at least. */
void control_era_note(struct control *control, uint64_t era, time_ns age);
/** @return for how long the store's era has been known, at least. */
time_ns control_era_age(const struct control *control, time_ns now);
/** @return true if the store's newest configuration at that moment proves which keys stand: not
 *  while it may be one that was restored. */
bool control_era_proves(const struct control *control, time_ns moment);
/** @return true if the version is of an era before the newest. */
bool control_era_is_over(const struct control *control, uint64_t version);
/** @brief Whether a row that is known from an earlier era is newer than what the copy of a restored
 *  store says of it.
 *  @param value NULL: the copy lacks the row. */
bool control_era_keeps(const struct control *control, enum store_table table,
                       const struct known_row *known, GBytes *value);

/* control_rows.c */
void control_feeds_start(struct control *control);
/* Takes a row from the store or from another pooler. */
void control_take_row(struct control *control, enum store_table table, const char *key,
                      uint64_t version, GBytes *value);
/** @brief Takes the rows of an answer of the store. */
void control_rows_take(struct feed *feed, const struct store_answer *answer);
/** @brief Takes the rows for gone that a whole listing lacks. */
void control_rows_drop_missing(struct feed *feed, const struct store_answer *answer);
/** @brief The table is told whole in a new era: rows of earlier ones that did not come are gone.
 *  @param version up to which it is known now. */
void control_rows_drop_earlier(struct feed *feed, uint64_t version);

/* control_store.c */
void control_feeds_tick(struct control *control, time_ns now);
/** @brief The store has answered about the table: notes that, and when it is asked next. */
void control_feed_answered(struct feed *feed, time_ns now);
/** @return true if the table is read whole, as that is less than the changes that may have been
 *  missed. */
bool control_feed_needs_listing(const struct feed *feed, time_ns now);
/** @brief What is known here of the table was the store's newest at that moment (0: nothing is
 *  told). */
void control_feed_prove(struct feed *feed, time_ns moment);

/* control_relay.c */
/** @brief Fills in what somebody lacks. More than a message should hold is left to the store,
 * unless the receiver lacks that. */
void control_relay_fill(const struct control *control, const relay_receiver_t *to, time_ns now,
                        struct pooler_relay *relay);
/** @brief Fills in no rows: what is known there stays as it is. */
void control_relay_fill_versions(const struct control *control, const row_versions_t *known,
                                 time_ns now, struct pooler_relay *relay);
/** @return true if the pooler has confirmed all rows that it was sent. */
bool control_relay_is_confirmed(const struct pooler_peer *pooler);
/** @brief Takes over what a pooler says that it knows. */
void control_relay_confirm(struct pooler_peer *pooler, const struct pooler_relay *relay);
/** @brief Fills in what a pooler under this coordinator lacks, and notes it as sent. Rows wait
 * until those before are confirmed: where they come quicker than a link carries them, the newest
 * ones are sent, and orders and permits are not held up behind the rest. */
void control_relay_fill_pooler(struct control *control, struct pooler_peer *pooler, time_ns now,
                               struct pooler_relay *relay);
/** @brief The same for a pooler that asks one that is not the coordinator, by what it knows. */
void control_relay_fill_nonauthoritative(struct control *control, struct peer *peer,
                                         const struct pooler_heartbeat *heartbeat, time_ns now,
                                         struct pooler_relay *relay);
/** @brief Fills in what this pooler knows and the coordinator may lack, once in a while. Up to
 * which version it knows each table is told in any case, also where the rows are too many. */
void control_relay_fill_offer(struct control *control, time_ns now, struct pooler_relay *relay);
/** @brief Takes over what another pooler knows of the store. */
void control_relay_take(struct control *control, const struct pooler_relay *relay);
/** @return the versions up to which the tables are known here. */
row_versions_t control_relay_versions(const struct control *control);

/** @brief Fills in all rows of both tables, whatever their size, uncompressed. */
void control_relay_fill_full(const struct control *control, struct pooler_relay *relay);
/** @return true if the link has capacity for rows to other poolers now. */
bool control_relay_has_budget(struct control *control, time_ns now);
/** @brief Takes sent bytes of rows off that capacity. */
void control_relay_consume_budget(struct control *control, size_t bytes);

/* control_relayed.c */
/** @brief Puts off this pooler's own look at the store, while others may tell it. */
void control_relayed_start(struct control *control);
/** @brief Puts it off once more, as another pooler has answered this one's first heartbeat. */
void control_relayed_peer_answered(struct control *control, time_ns now);
/** @brief Takes over, after the rows, how new the other pooler knows the tables to be, and relies
 * on them for as long as that allows.
 *  @param asked when that pooler was sent what it answers, by our clock; 0: it is not known. */
void control_relayed_accept(struct control *control, const struct pooler_relay *relay,
                            time_ns asked);
/** @brief The same for tables that a mirror has told. */
void control_relayed_accept_tables(struct control *control, const struct pooler_relay *relay,
                                   time_ns asked);
/** @brief Takes over, after the rows, how new the other pooler knows the tables to be. Parameters
 * as of control_relayed_accept().
 *  @return when all that is known here was the store's newest, by that; 0: it is not told. */
time_ns control_relayed_accept_proofs(struct control *control, const struct pooler_relay *relay,
                                      time_ns asked);
/** @return true if other poolers tell this one what the store holds. */
bool control_relayed_is_valid(const struct control *control, time_ns now);
/** @return true if others tell this pooler what the store holds, and have told it lately. */
bool control_relayed_is_recent(const struct control *control, time_ns now);
/** @return true if others follow the store for this pooler, so that they see to the lease as well.
 */
bool control_relayed_covers_lease(const struct control *control, time_ns now);
/** @return true if this pooler has to ask the store about the table by itself. */
bool control_relayed_needs_store(const struct control *control, enum store_table table,
                                 time_ns now);
/** @return true if the store does not answer this pooler. */
bool control_relayed_store_fails(const struct control *control);
/** @return milliseconds since the store last answered this pooler; UINT32_MAX for never. */
uint32_t control_relayed_store_age_ms(const struct control *control, time_ns now);

/* control_news.c */
/** @brief Fills in the orders and members that a pooler under this coordinator lacks, and notes
 * them as told. */
void control_news_fill(struct control *control, struct pooler_peer *pooler,
                       struct pooler_grant *grant);
/** @brief Fills in what a pooler lacks that asks one that is not the coordinator: the orders as
 * this one follows them, which permit nothing, and the members. */
void control_news_fill_nonauthoritative(struct control *control,
                                        const struct pooler_heartbeat *heartbeat,
                                        struct pooler_grant *grant);
/** @brief Puts what came packed in its place. @return false with `error` if it can't be read. */
bool control_news_decompress(struct pooler_grant *grant, GError **error);
/** @brief Frees what a cache holds; it may be filled again. */
void control_news_clear(news_cache_t *cache);

/* control_followers.c */
/** @brief Tells who the followers are, if not yet told. */
void control_followers_announce(const struct control *control, uint64_t told,
                                struct pooler_grant *grant);
/** @brief Takes over who the followers are. */
void control_followers_take(struct control *control, const struct pooler_grant *grant);
/** @brief Chooses, at the coordinator, which poolers follow the store beside it. */
void control_followers_choose(struct control *control);

/* control_mirrors.c */
/** @brief Chooses, at the coordinator, which poolers pass the store's tables on. */
void control_mirrors_choose(struct control *control);
/** @brief Copies the mirrors that are known. @return how many. */
size_t control_mirrors_copy(const struct control *control, struct pooler_mirror **out);
/** @brief Tells a pooler under this coordinator who they are, if it was not told yet. */
void control_mirrors_announce(const struct control *control, struct pooler_peer *pooler,
                              struct pooler_grant *grant);
/** @brief Takes over who they are; nothing if none are told. */
void control_mirrors_take(struct control *control, const struct pooler_mirror *mirrors,
                          size_t count);
/** @brief A pooler asks for the tables. */
void control_mirrors_request(struct control *control, struct peer *peer,
                             const struct pooler_heartbeat *question, time_ns now);
/** @brief The connection of a pooler that may have asked is over. */
void control_mirrors_cancel(struct control *control, const struct peer *peer);
/** @return true while questions to this pooler wait. */
bool control_mirrors_has_requests(const struct control *control);
/** @brief Fills in the tables as a whole, or what has changed since `known`, whatever its size. */
void control_mirrors_fill(struct control *control, const row_versions_t *known, bool takes_deltas,
                          time_ns now, struct pooler_grant *grant);
/** @brief Takes over what a mirror has told. @param asked when it was asked, by our clock.
 *  @return false with `error` if that can't be read. */
bool control_mirrors_take_tables(struct control *control, const struct pooler_grant *grant,
                                 time_ns asked, GError **error);
/** @brief Answers those who wait, and asks a mirror for tables that are lacking here. */
void control_mirrors_tick(struct control *control, time_ns now);

/* control_fleet.c */
/** @return who holds the connections to the service's databases; NULL if no fleet is known. */
const fleet_owners_t *control_fleet_owners(const struct control *control,
                                           const struct service *service);
/** @return the version up to which the fleet is known here; 0: not at all. */
uint64_t control_fleet_version(const struct control *control);
/** @brief Fills in what somebody lacks who knows the fleet up to `known`.
 *  @return the version up to which it is known then. */
uint64_t control_fleet_fill(const struct control *control, uint64_t known,
                            struct pooler_fleet *out);
/** @brief Takes over what another pooler tells, or the lease's row. */
void control_fleet_take(struct control *control, const struct pooler_fleet *told);
/** @return true while a new coordinator expects to hear more poolers before it decides. */
bool control_fleet_is_gathering(const struct control *control, time_ns now);
/** @brief Decides who belongs to the fleet. @return true if anything has changed. */
/** @return the roster as it is to be published; NULL if no fleet is known. */
roster_t *control_fleet_roster(struct control *control);
/** @brief The fleet as it is known here was the coordinator's at that moment, or later. */
void control_fleet_extend_validity(struct control *control, time_ns moment);
/** @brief Notes that the store's row holds the fleet of this version. */
void control_fleet_note_stored(struct control *control, uint64_t version, time_ns now);
/** @brief Notes that the store may have no row that holds the fleet. */
void control_fleet_forget_stored(struct control *control);
/** @brief Decides who belongs to the fleet. @return true if anything has changed. */
bool control_fleet_decide(struct control *control, time_ns now);
/** @brief Decides from time to time, at the coordinator, and tells the poolers of changes. */
void control_fleet_tick(struct control *control, time_ns now);

/* control_lease.c */
void control_lease_tick(struct control *control, time_ns now);
/* True if the lease holds now and for `margin` more. */
bool control_lease_holds(const struct control *control, time_ns now, time_ns margin);
/* True if a pooler that sees a free lease leaves it to stronger machines for now. */
bool control_lease_defers(struct control *control, bool free, time_ns now);
/* For how long the lease certainly holds; 0 if it does not. */
time_ns control_lease_left(const struct control *control, time_ns now);
/* Takes the lease's row out of an answer of the store; ends the lease if it is another's. */
void control_lease_take(struct control *control, const struct store_answer *answer);
/* Gives the lease up, as at a planned stop. */
void control_lease_release(struct control *control);
/** @brief Fills in the fleet, compressed where it is large, if the row stays small enough for the
 *  store. @return the row. */
GByteArray *control_lease_encode(const struct control *control, struct lease_record *record);
/** @brief Reads such a row. @return false with `error` if it can't be read. */
bool control_lease_decode(const uint8_t *data, gsize length, struct lease_record *out,
                          GError **error);
/** @return the key of the lease's row in the store's era; the caller frees it. */
char *control_lease_key(const struct control *control);
/** @return for how long the holder's renewal has been due without being done. */
time_ns control_lease_overdue(const struct control *control, time_ns now);
/* Looks at the lease at once, as this pooler may take it. */
void control_lease_invite(struct control *control);
/* The holder under this token has left the lease to us. */
void control_lease_ceded(struct control *control, uint64_t token);
/* True if the store does not answer the holder, so that the lease had better go to another. */
bool control_lease_is_failing(const struct control *control, time_ns now);
/* The lease is no longer ours. */
void control_lease_lost(struct control *control, const char *why);

/** @return the processor that this machine grants, in thousandths of a core. */
uint32_t control_millicores(const struct control *control);

/* control_member.c: as a pooler under a coordinator */
void control_member_tick(struct control *control, time_ns now);
/** @return true if this pooler had better connect to the coordinator at the address that it was
 * told by another one: it is not the one that it knows, or a newer one has come up there. */
bool control_member_must_reconnect(const struct control *control, const char *address, time_ns now);
void control_member_set_coordinator(struct control *control, const char *address);
/** @brief Notes that the pooler at the other end is the coordinator, as it sent a grant, and tells
 * its address to others from now on. It may have been found by the lease's row, by what another
 * pooler told, or by trying those that follow the store. Without this, poolers that can't read the
 * store and ask here would not find it. */
void control_member_found_coordinator(struct control *control);
/** @return the address to connect to next; NULL if there is none to try. The addresses are tried in
 * turn. A pooler that was sent to the coordinator's address in vain goes on with the turn where it
 * was: starting over, it could be sent to and fro between two poolers with outdated knowledge. */
const char *control_member_next_address(struct control *control);
void control_member_stop(struct control *control);

/* control_reachability.c */
/** @brief Asks poolers of other zones while none is heard, and decides whether this zone is cut
 *  off. */
void control_reachability_tick(struct control *control, time_ns now);
/** @brief A pooler of this zone was heard; counts if it is another zone than ours. */
void control_reachability_note_contact(struct control *control, const char *zone, time_ns now);
/** @return what the decision needs of the fleet and the store. */
zone_reachability_inputs_t control_reachability_inputs(const struct control *control);
/** @return true if a pooler of another zone runs on the machine of this address. */
bool control_reachability_is_other_zone(const struct control *control, const char *address);

/* control_coordinator.c: towards the poolers */
bool control_coordinator_listen(struct control *control, GError **error);
void control_coordinator_stop(struct control *control);
void control_coordinator_start(struct control *control);
void control_coordinator_end(struct control *control);
void control_coordinator_tick(struct control *control, time_ns now);
/** @brief Asks for a look at the groups as soon as one may be. */
void control_coordinator_wake(struct control *control);
/** @return when the groups are to be looked at next; UINT64_MAX: with the next tick. */
time_ns control_coordinator_due(const struct control *control);
/* control_succession.c */
/* Leaves the lease to a pooler that the store answers, or to any at a planned stop. False if there
 * is none. */
bool control_coordinator_cede(struct control *control, bool planned);
/** @brief Sends all poolers what they lack, at the end of this look at the groups: one message for
 *  each pooler, however many groups have changed. */
void control_coordinator_push(struct control *control);

/** @return true if the lease had better be left to this pooler than to the other one (NULL: none):
 *  to a strong machine first, as it will hear all the others, then to the one that heard the store
 *  last. */
bool control_coordinator_prefers(const struct pooler_peer *pooler, const struct pooler_peer *than,
                                 time_ns now);
/** @brief Leaves the lease to a stronger machine, if one is at hand. @return true if it did. */
bool control_coordinator_hand_over(struct control *control, time_ns now);
/** @return how many poolers share the databases' connections, as the coordinator counts them. */
uint32_t control_coordinator_count(const struct control *control);

/* control_survey.c */
/** @brief Sums up what all poolers have told, into the groups and the versions of orders. */
void control_survey(struct control *control, time_ns now);
/** @brief Counts whose opinion of the group's primary matters, where there is one. */
void control_survey_count_opinions(struct control *control, struct controlled_group *group,
                                   time_ns now);

/* control_groups.c: the groups under control */
void control_groups_start(struct control *control);
void control_groups_end(struct control *control);
void control_groups_tick(struct control *control, time_ns now);

#endif
