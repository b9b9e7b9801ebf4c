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
 * store may have lost. Leaves room for a million holders in each of 4,096 eras. */
#define TOKEN_ERA_SHIFT 20

/* An earlier value of a row, kept to send only the difference to poolers that still have it. */
typedef struct past_value {
    uint64_t version;
    GBytes *value;
    GBytes *delta;      /* from this value to the row's current one; NULL: not computed yet */
    GBytes *compressed; /* delta compressed; NULL: not smaller, or not tried yet */
} past_value_t;

/* The newest version of a row of the store that is known here, kept to pass it on to poolers that
 * the store does not serve. */
struct known_row {
    char *key;
    uint64_t version;
    bool gone;
    GBytes *value;
    GBytes *compressed; /* value compressed; NULL: it would not be smaller, or was not tried yet */
    bool compression_tried; /* compression of the value was tried */
    uint64_t hash;          /* of the value; 0: not computed yet */
    GQueue past;            /* of past_value_t, newest first; only of large rows */
    time_ns learned_at;
};

/** @brief Versions up to which the configuration and directory tables are known. */
typedef struct row_versions {
    uint64_t configuration;
    uint64_t directory;
} row_versions_t;

/** @brief What a receiver of rows knows and supports. */
typedef struct relay_receiver {
    row_versions_t known;
    bool lacks_store;  /* the store does not answer it, so it gets large rows as well */
    bool takes_deltas; /* it can apply deltas; otherwise it gets complete values */
} relay_receiver_t;

/** @brief Compressed messages of group orders and fleet members, one for each pair of versions that
 * a receiver may have. Receivers that have the same versions get the same bytes. */
typedef struct news_cache {
    GPtrArray *entries; /* of compressed_news_t (control_news.c); NULL: empty */
    uint64_t orders;    /* version of the orders that every entry brings a receiver to */
    uint64_t fleet;     /* version of the fleet that every entry brings a receiver to */
} news_cache_t;

/** @brief All rows of both tables in one compressed message, for every pooler that has none of
 * them. */
typedef struct table_snapshot {
    GBytes *compressed;     /* NULL: not built yet */
    uint32_t length;        /* bytes before compression; 0: the message is not compressed */
    row_versions_t through; /* versions of the tables that it contains */
} table_snapshot_t;

/** @brief The mirrors of the store's tables: which poolers they are, this pooler's requests to
 * them, and the requests that it answers as a mirror. Start from zeros. */
typedef struct mirrors {
    GPtrArray *known;  /* of struct pooler_mirror, as chosen here or received last; NULL: none */
    uint64_t version;  /* rises with each choice that changes the list */
    size_t candidates; /* poolers that the last choice could choose from */
    mirror_requests_t requests;
    char *last_address; /* of the mirror that was last sent a request; NULL: none was */
    struct peer *peer;  /* connection to that mirror; NULL: none is open */
    struct peer_callbacks callbacks;
    time_ns missing_since; /* see mirror_inputs_t; 0: no table is missing, or the wait after a start
                              has not ended */
    bool expected;   /* tables are expected from mirrors: this pooler does not read the store */
    GArray *pending; /* of mirror_request_t, requests to this pooler not answered yet; NULL: none so
                        far */
    table_snapshot_t snapshot;
} mirrors_t;

/* State of one table of the store: the rows known here and the calls that follow its changes. */
struct feed {
    struct control *control;
    enum store_table table;
    GHashTable *rows;  /* key -> struct known_row */
    uint64_t version;  /* changes are known up to this; never falls; 0: none are */
    bool history_gone; /* the store no longer has the changes since `version`: the next call is a
                          full listing */
    uint64_t changed_version; /* highest version of any row */
    gsize largest;            /* largest value that any row has had, in bytes */
    time_ns as_of; /* the rows were proven to be the store's newest at this time; 0: never */
    time_ns last_answer_at; /* when the store last answered this pooler about the table; 0: never */
    bool calling;
    time_ns call_sent;
    call_reason_t reason; /* of the call in progress */
    time_ns next_at;
    time_ns standby_until;     /* a standby follower makes no call before this; 0: no restriction */
    uint32_t failures;         /* consecutive */
    uint32_t history_failures; /* consecutive calls that the store answered by STORE_HISTORY_GONE */
    bool missing;    /* another pooler has newer rows, too large to be sent or unreadable */
    time_ns list_at; /* a full listing is due once more at this time, after a restore of the store;
                        0: none is due */
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

/** Poolers of other zones that are pinged at the same time. */
#define REACHABILITY_PINGS 2

/** @brief A connection to a pooler of another zone and the ping sent on it. */
typedef struct reachability_ping {
    struct control *control;
    struct peer *peer; /* NULL: not connected */
    struct peer_callbacks callbacks;
    time_ns sent_at; /* when the unanswered ping was sent; 0: none is open */
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
    struct peer *coordinator; /* connection to it, or to another pooler; NULL: none */
    char *coordinator_address;
    char *connected_address; /* of the connection; NULL: none */
    bool at_coordinator;     /* the connection goes to coordinator_address */
    time_ns redirected_at;   /* when the last connection to another pooler was closed to try the
                                coordinator's address */
    uint64_t newest_token;
    uint64_t grant_stamp; /* of the newest grant on this connection; 0: none */
    uint64_t sequence;
    time_ns sent_at[HEARTBEATS_KEPT];
    time_ns heartbeat_at; /* when the next heartbeat is due */
    time_ns granted_at;
    time_ns answered_at; /* when a pooler last answered a heartbeat */
    time_ns connected_at;
    bool connect_now; /* the coordinator's address has changed: connect at the next tick */
    uint32_t fleet_count;
    uint64_t news_sent;       /* value of the workers' counter `news` at the last heartbeat */
    uint64_t orders_received; /* version up to which this coordinator's orders have been received */
    uint64_t orders_view;     /* number of the view that contains those orders */
    uint64_t orders_reported; /* version up to which orders were last reported as followed */
    uint64_t view_number;     /* of the newest view */
    uint64_t view_revision;   /* of the newest state of a group in a view */
    bool follows_store;       /* by itself, as the coordinator asked */
    bool relayed;             /* relayed state was valid at the last tick */
    uint64_t orders_known;    /* version of the newest orders that any coordinator gave */
    bool introduced_self;  /* the heartbeat with this pooler's name and addresses was sent on this
                              connection */
    unsigned next_address; /* index of the next address to try */
    time_ns nonauthoritative_at; /* when a non-authoritative reply last came */
    bool start_answered;         /* another pooler has answered since this one started */
    time_ns relayed_as_of; /* the rows received from other poolers were the store's newest at this
                              time; 0: none yet */
    time_ns relayed_valid_until;     /* relayed state replaces own reads of the store until then */
    row_versions_t coordinator_rows; /* table versions that the coordinator has */
    row_versions_t offered;          /* table versions sent to it and not confirmed yet */
    time_ns offered_at;
    double row_budget; /* bytes of rows that may be sent to other poolers now, beside all else on
                          the link */
    time_ns row_budget_at;
    struct peer_callbacks coordinator_callbacks;
    zone_reachability_t zone_reachability;
    reachability_ping_t reachability_pings[REACHABILITY_PINGS];
    unsigned reachability_next;     /* index of the next pooler of another zone to ping */
    time_ns reachability_due_at;    /* when reachability is next checked, at the earliest */
    bool coordinator_in_other_zone; /* the connection goes to a pooler of another zone */
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
    news_cache_t news;                  /* messages sent as the coordinator */
    news_cache_t nonauthoritative_news; /* messages sent in non-authoritative replies */
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
    time_ns roster_valid_until; /* the roster is in force until then */
    time_ns fleet_at;           /* when the fleet is next decided */
    time_ns many_missing_since; /* since when many members have been missing; 0: they are not */
    GHashTable *fresh;    /* of forward addresses: poolers heard lately, by this survey; empty until
                             asked for */
    bool rows_learned;    /* and not yet told to the poolers */
    time_ns followers_at; /* when the followers of the store were chosen */
    GPtrArray *followers; /* their peer addresses, as chosen here or received last */
    uint64_t followers_version; /* rises with each choice that changes them */
    mirrors_t mirrors;
};

/* control.c */
void control_wake_soon(struct control *control);

/* control_view.c: the view, an immutable snapshot that the workers use for routing */
/** @return true if the database may be given new work. */
bool control_takes_work(const struct control *control, const struct directory_entry *entry,
                        time_ns now);
struct member_shared *control_member(struct control *control, const struct directory_entry *entry);
struct group_state *control_group(struct control *control, const char *service);
void control_publish(struct control *control);
/** @return true if other poolers own the connections to the group's databases. */
bool control_view_forwards(const struct control *control, const struct service *service);
/** @return how many poolers share the databases' connections, as last announced by the coordinator,
 * or else by the lease's row; 0 if neither is known. */
uint32_t control_fleet_size(const struct control *control);
/** @return connections to each database that every worker may open where no pooler owns the group;
 * 0 while the size of the fleet is not known. */
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

/* control_rows.c: the rows of the store that are known here */
void control_feeds_start(struct control *control);
/* Takes over a row that came from the store or from another pooler, if it is newer than the known
 * one. `value` is NULL for a deleted row. */
void control_take_row(struct control *control, enum store_table table, const char *key,
                      uint64_t version, GBytes *value);
/** @brief Takes over the rows of an answer of the store. */
void control_rows_take(struct feed *feed, const struct store_answer *answer);
/** @brief Marks known rows as deleted that a full listing does not contain. */
void control_rows_drop_missing(struct feed *feed, const struct store_answer *answer);
/** @brief After a full copy of the table in a new era: marks rows of earlier eras as deleted that
 * the copy did not contain.
 * @param version up to which the table is known now. */
void control_rows_drop_earlier(struct feed *feed, uint64_t version);

/* control_store.c: reads of the store's tables */
void control_feeds_tick(struct control *control, time_ns now);
/** @brief Notes that the store has answered about the table, and schedules the next call. */
void control_feed_answered(struct feed *feed, time_ns now);
/** @return true if the next call should list the full table, because the changes that may have been
 * missed would take more bytes. */
bool control_feed_needs_listing(const struct feed *feed, time_ns now);
/** @brief Notes that the rows known here were the store's newest at `moment`; 0: no time is known.
 */
void control_feed_prove(struct feed *feed, time_ns moment);

/* control_relay.c: the relay, which passes rows of the store from pooler to pooler */
/** @brief Fills in the rows that the receiver is missing. If they exceed the size of one message,
 * they are left out for the receiver to read at the store, unless the store does not answer it. */
void control_relay_fill(const struct control *control, const relay_receiver_t *to, time_ns now,
                        struct pooler_relay *relay);
/** @brief Fills in the versions and ages of the tables, and no rows: the receiver's versions stay
 * as they are. */
void control_relay_fill_versions(const struct control *control, const row_versions_t *known,
                                 time_ns now, struct pooler_relay *relay);
/** @return true if the pooler has confirmed all rows that it was sent. */
bool control_relay_is_confirmed(const struct pooler_peer *pooler);
/** @brief Notes the versions that a pooler reports to have. */
void control_relay_confirm(struct pooler_peer *pooler, const struct pooler_relay *relay);
/** @brief Fills in the rows that a pooler under this coordinator is missing, and notes them as
 * sent. Further rows wait until those before are confirmed: if rows change faster than the link
 * carries them, only the newest values are sent, and they do not delay orders and permits. */
void control_relay_fill_pooler(struct control *control, struct pooler_peer *pooler, time_ns now,
                               struct pooler_relay *relay);
/** @brief Does the same for a non-authoritative reply, which a pooler sends that is not the
 * coordinator, by the versions in the heartbeat. */
void control_relay_fill_nonauthoritative(struct control *control, struct peer *peer,
                                         const struct pooler_heartbeat *heartbeat, time_ns now,
                                         struct pooler_relay *relay);
/** @brief Fills in the rows that are known here and that the coordinator may be missing; the same
 * rows at most once in 2 s. The versions known here are filled in always, even if the rows are too
 * large. */
void control_relay_fill_offer(struct control *control, time_ns now, struct pooler_relay *relay);
/** @brief Takes over rows and versions that another pooler sent. */
void control_relay_take(struct control *control, const struct pooler_relay *relay);
/** @return the versions up to which the tables are known here. */
row_versions_t control_relay_versions(const struct control *control);

/** @brief Fills in all rows of both tables, whatever their size, uncompressed. */
void control_relay_fill_full(const struct control *control, struct pooler_relay *relay);
/** @return true if rows may be sent to other poolers now, by their share of the link. */
bool control_relay_has_budget(struct control *control, time_ns now);
/** @brief Consumes the sent bytes from that share. */
void control_relay_consume_budget(struct control *control, size_t bytes);

/* control_relayed.c: how long rows from other poolers replace own reads of the store */
/** @brief At a start, delays this pooler's first call at the store, so that another pooler can send
 * the tables first. */
void control_relayed_start(struct control *control);
/** @brief Extends that delay once, when another pooler has answered the first heartbeat. */
void control_relayed_peer_answered(struct control *control, time_ns now);
/** @brief Takes over how recent the other pooler's tables are, after their rows were taken, and
 * uses them in place of own reads of the store for as long as that allows.
 * @param requested_at when the answered request was sent, by this machine's clock; 0: unknown. */
void control_relayed_accept(struct control *control, const struct pooler_relay *relay,
                            time_ns requested_at);
/** @brief Does the same for tables that came from a mirror. */
void control_relayed_accept_tables(struct control *control, const struct pooler_relay *relay,
                                   time_ns requested_at);
/** @brief Takes over how recent the other pooler's tables are, after their rows were taken.
 * Parameters as of control_relayed_accept().
 * @return when everything known here was the store's newest, by that message; 0: unknown. */
time_ns control_relayed_accept_proofs(struct control *control, const struct pooler_relay *relay,
                                      time_ns requested_at);
/** @return true if relayed state is valid, so that this pooler need not read the store. */
bool control_relayed_is_valid(const struct control *control, time_ns now);
/** @return true if the relayed state is so recent that its sender follows the store now. */
bool control_relayed_is_recent(const struct control *control, time_ns now);
/** @return true if other poolers follow the store for this one, so that they also watch the lease.
 */
bool control_relayed_covers_lease(const struct control *control, time_ns now);
/** @return true if this pooler has to read the table at the store itself. */
bool control_relayed_needs_store(const struct control *control, enum store_table table,
                                 time_ns now);
/** @return true if the store does not answer this pooler. */
bool control_relayed_store_fails(const struct control *control);
/** @return milliseconds since the store last answered this pooler; UINT32_MAX: never. */
uint32_t control_relayed_store_age_ms(const struct control *control, time_ns now);

/* control_news.c: the coordinator's updates, which are group orders and members of the fleet */
/** @brief Fills in the orders and members that a pooler under this coordinator is missing, and
 * notes them as sent. */
void control_news_fill(struct control *control, struct pooler_peer *pooler,
                       struct pooler_grant *grant);
/** @brief Fills in what the sender of a heartbeat is missing, for a non-authoritative reply: the
 * orders as this pooler follows them, without permits, and the members. */
void control_news_fill_nonauthoritative(struct control *control,
                                        const struct pooler_heartbeat *heartbeat,
                                        struct pooler_grant *grant);
/** @brief Replaces the compressed orders and members of a grant by their content.
 * @return false with `error` if they can't be read. */
bool control_news_decompress(struct pooler_grant *grant, GError **error);
/** @brief Frees all entries; the cache may be filled again. */
void control_news_clear(news_cache_t *cache);

/* control_followers.c: followers, which read the store's changes beside the coordinator */
/** @brief Fills in the followers' addresses, unless the receiver has `known_version` already. */
void control_followers_announce(const struct control *control, uint64_t known_version,
                                struct pooler_grant *grant);
/** @brief Takes over the followers' addresses, if the grant has any. */
void control_followers_take(struct control *control, const struct pooler_grant *grant);
/** @brief Chooses, at the coordinator, which poolers follow the store beside it. */
void control_followers_choose(struct control *control);

/* control_mirrors.c: mirrors, which serve full copies of the store's tables to other poolers */
/** @brief Chooses, at the coordinator, which poolers are mirrors of the store's tables. */
void control_mirrors_choose(struct control *control);
/** @brief Copies the list of known mirrors.
 * @return its length. */
size_t control_mirrors_copy(const struct control *control, struct pooler_mirror **out);
/** @brief Fills in the mirrors for a pooler under this coordinator, unless it was sent this
 * version. */
void control_mirrors_announce(const struct control *control, struct pooler_peer *pooler,
                              struct pooler_grant *grant);
/** @brief Takes over a received list of mirrors; ignores an empty one. */
void control_mirrors_take(struct control *control, const struct pooler_mirror *mirrors,
                          size_t count);
/** @brief Answers a pooler's request for the tables, or queues it. */
void control_mirrors_request(struct control *control, struct peer *peer,
                             const struct pooler_heartbeat *heartbeat, time_ns now);
/** @brief Drops the pending requests of a connection that was closed. */
void control_mirrors_cancel(struct control *control, const struct peer *peer);
/** @return true while requests to this pooler are pending. */
bool control_mirrors_has_requests(const struct control *control);
/** @brief Fills in a full copy of the tables for a receiver that has none, otherwise the changes
 * since `known`, whatever their size. */
void control_mirrors_fill(struct control *control, const row_versions_t *known, bool takes_deltas,
                          time_ns now, struct pooler_grant *grant);
/** @brief Takes over tables that a mirror sent.
 * @param requested_at when the request was sent, by this machine's clock.
 * @return false with `error` if they can't be read. */
bool control_mirrors_take_tables(struct control *control, const struct pooler_grant *grant,
                                 time_ns requested_at, GError **error);
/** @brief Answers pending requests, and sends a mirror a request for tables that are missing here.
 */
void control_mirrors_tick(struct control *control, time_ns now);

/* control_fleet.c: the fleet, the poolers that share the connections to the databases */
/** @return the poolers that own the connections to the service's databases; NULL if no fleet is
 * known. */
const fleet_owners_t *control_fleet_owners(const struct control *control,
                                           const struct service *service);
/** @return the version up to which the fleet is known here; 0: not at all. */
uint64_t control_fleet_version(const struct control *control);
/** @brief Fills in the changes that a receiver is missing whose fleet has version `known`.
 * @return the version that it has afterwards. */
uint64_t control_fleet_fill(const struct control *control, uint64_t known,
                            struct pooler_fleet *out);
/** @brief Takes over a fleet that another pooler sent or that the lease's row holds. */
void control_fleet_take(struct control *control, const struct pooler_fleet *received);
/** @return true while a new coordinator waits for more poolers to connect before it decides. */
bool control_fleet_is_gathering(const struct control *control, time_ns now);
/** @return the roster to publish; NULL if no fleet is known. */
roster_t *control_fleet_roster(struct control *control);
/** @brief Notes that the fleet known here was the coordinator's at `moment` or later, and keeps the
 * roster in force for as long as that allows. */
void control_fleet_extend_validity(struct control *control, time_ns moment);
/** @brief Notes that the store's row holds the fleet of this version. */
void control_fleet_note_stored(struct control *control, uint64_t version, time_ns now);
/** @brief Notes that the store may no longer have a row that holds the fleet. */
void control_fleet_forget_stored(struct control *control);
/** @brief Decides, at the coordinator, which poolers are members of the fleet.
 * @return true if anything has changed. */
bool control_fleet_decide(struct control *control, time_ns now);
/** @brief Decides at regular intervals, at the coordinator, and pushes changes to the poolers. */
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
/** @return true if this pooler should connect to the coordinator at `address`, which another pooler
 * has named: the address differs from the known one, or a newer coordinator has started there. */
bool control_member_must_reconnect(const struct control *control, const char *address, time_ns now);
void control_member_set_coordinator(struct control *control, const char *address);
/** @brief Notes that the connected pooler is the coordinator, as it sent a grant, and passes its
 * address on to other poolers from now on. It may have been found by the lease's row, by the reply
 * of another pooler, or by trying the store's followers. Without this, poolers that can't read the
 * store and ask this one would not find it. */
void control_member_found_coordinator(struct control *control);
/** @return the address to connect to next; NULL if there is none to try. Addresses are tried round
 * robin. After a failed connection to the coordinator's address the round continues where it was:
 * starting over, the pooler could be redirected back and forth between two poolers with outdated
 * knowledge. */
const char *control_member_next_address(struct control *control);
void control_member_stop(struct control *control);

/* control_reachability.c: detection of a partition of this zone */
/** @brief Pings poolers of other zones while no message comes from any, and decides whether this
 * zone is partitioned from the others. */
void control_reachability_tick(struct control *control, time_ns now);
/** @brief Notes a message from a pooler of zone `zone`; ignored if that is this pooler's own zone.
 */
void control_reachability_note_contact(struct control *control, const char *zone, time_ns now);
/** @return the inputs of that decision: counts of the fleet, and when the store was last known. */
zone_reachability_inputs_t control_reachability_inputs(const struct control *control);
/** @return true if the pooler on the machine of this address is in another zone. */
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
