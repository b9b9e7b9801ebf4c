/**
 * @file
 * @brief State of the control thread: what it has learned from the store and from other poolers,
 * what it publishes to the workers, and, if this pooler is the coordinator, the control of all
 * groups.
 *
 * Only the control thread may use anything in this file.
 */
#ifndef SW_POOLER_CONTROL_INTERNAL_H
#define SW_POOLER_CONTROL_INTERNAL_H

#include <event2/event.h>
#include <glib.h>

#include "backend/clock.h"
#include "generated/messages.h"
#include "generated/pooler_settings.h"
#include "pooler/access/proof.h"
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
#include "pooler/control/fault_report.h"
#include "pooler/control/push_limiter.h"
#include "pooler/control/store.h"
#include "pooler/control/zone_reach.h"
#include "pooler/shared/view.h"
#include "pooler/worker/worker.h"

#define MS NANOSECONDS_PER_MILLISECOND

/* Bytes per second of a link of 1 Mbit/s. */
#define BYTES_PER_MEGABIT 125000.0

/* Heartbeats whose send times are kept. The validity of a grant counts from the time at which the
 * heartbeat that it answers was sent. */
#define HEARTBEATS_KEPT 16

/* A coordinator's epochs start at its lease token, shifted by this, and so exceed the epochs of all
 * earlier coordinators. */
#define EPOCH_SHIFT 32

/* Lease tokens start at the store era shifted by this. Tokens of a new era exceed all tokens of the
 * earlier eras, which a restored store may have lost. Allows a million tokens in each of 4,096
 * eras. */
#define TOKEN_ERA_SHIFT 20

/* An earlier value of a row, from which the difference is told to those who have it. */
typedef struct past_value {
    uint64_t version;
    GBytes *value;
    GBytes *delta;  /* from it to the row's value; NULL: not made yet */
    GBytes *packed; /* the same packed; NULL: not worth it, or not made yet */
} past_value_t;

/* One row of the store as last seen, kept to pass it on to poolers that the store turns away. */
struct known_row {
    char *key;
    uint64_t version;
    bool gone;
    GBytes *value;
    GBytes *packed; /* NULL: not worth it, or not packed yet */
    bool is_packed; /* it was tried */
    uint64_t hash;  /* of the value; 0: not worked out yet */
    GQueue past;    /* of past_value_t, newest first, of large rows */
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
    GPtrArray *kept; /* of packed_news_t (control_news.c); NULL: nothing yet */
    uint64_t orders; /* version of the orders that all of them lead up to */
    uint64_t fleet;  /* the same of the members */
} news_cache_t;

/** @brief All rows of both tables, as one compressed message for every pooler that lacks them. */
typedef struct table_snapshot {
    GBytes *packed;         /* NULL: not made yet */
    uint32_t length;        /* bytes before compression; 0: it is not compressed */
    row_versions_t through; /* it holds the tables up to these */
} table_snapshot_t;

/** @brief Whom this pooler asks for the store's tables, and who asks it. Starts from zeros. */
typedef struct mirrors {
    GPtrArray *known; /* of struct pooler_mirror, as chosen here or told last; NULL: none */
    uint64_t version; /* rises with each choice that changes them */
    size_t heard;     /* poolers to choose from, as of the last look */
    mirror_questions_t questions;
    char *asked;       /* the one that was asked last; NULL: none */
    struct peer *peer; /* the connection to it; NULL: there is none */
    struct peer_callbacks callbacks;
    time_ns lacks_since; /* see mirror_view_t; 0: nothing is lacking, or it is waited for */
    bool expected;       /* the tables come from mirrors: the store is left alone */
    GArray *waiting;     /* questions to this one that wait; NULL: none has come yet */
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
    time_ns current_at;       /* when the store last answered this pooler about it; 0: never */
    bool calling;
    time_ns call_sent;
    call_reason_t reason; /* of the call that is on its way */
    time_ns next_at;
    time_ns
        reserve_until;  /* a follower asks again then, while the coordinator tells it; 0: at once */
    uint32_t failures;  /* in a row */
    uint32_t forgotten; /* questions for changes that the store could not answer, in a row */
    bool missing;       /* another pooler knows more, which was too large to be told */
    time_ns list_at;    /* it is read whole once more then, after a restore; 0: it need not be */
};

/** @brief The state of a group that this pooler last reported to the coordinator on the current
 * connection. */
typedef struct reported_state {
    size_t faults;
    uint32_t in_flight;
} reported_state_t;

/** @brief The variable inputs of a group's published view. Equal inputs give an equal view.
 * Compared with memcmp(). */
typedef struct view_inputs {
    uint64_t epoch;
    uint64_t owners;  /* revision of the group's owners; 0: no fleet is known */
    uint64_t members; /* digest of the group's directory entries */
    uint64_t sharers; /* see pooled_group */
    uint32_t connections;
    uint32_t fallback_connections;
    uint32_t sync_replicas;
    uint32_t keyed; /* 1: clients have keys. 32 bits, so that the struct has no padding */
} view_inputs_t;

/* A group as this pooler serves it, by the coordinator's newest group order. */
struct group_state {
    struct group_shared *shared;
    uint64_t epoch;
    enum group_phase phase;
    char *primary;
    uint64_t term;
    reported_state_t reported;
    struct pooled_group *view; /* last published, one reference held; NULL: not yet */
    view_inputs_t view_inputs; /* that `view` was built from */
};

/* The coordinator's lease, as this pooler knows it. */
struct lease {
    uint64_t row_version;       /* of the lease row as last read; number 0: no row in this era */
    struct lease_record record; /* content of the lease row as last read */
    bool held;
    uint64_t token; /* fencing token under which this pooler holds the lease */
    time_ns until;  /* end of the lease that is held, by the local clock */
    bool calling;
    bool check_now; /* read the row without waiting, as the lease may be free for this pooler */
    time_ns next_at;
    time_ns clock_sent; /* the store's clock was read between these two local times */
    time_ns clock_received;
    uint64_t clock_ms;
    time_ns call_sent;
    uint64_t call_era;       /* store era whose row the call reads or writes */
    uint64_t proposed_fleet; /* version of the fleet in the row being written */
    uint64_t proposed_token;
    time_ns free_since;          /* when the lease was first seen free; 0: it is not free */
    bool releasing;              /* a write that gives the lease up is in progress */
    uint64_t handover_token;     /* of the lease that its holder handed over to us; 0: none */
    uint64_t handovers_received; /* since the start */
    time_ns renewed_at;          /* when the lease was last acquired or renewed */
};

/* A pooler, as the coordinator sees it. */
struct pooler_peer {
    char *name;
    struct peer *peer; /* NULL while it is not connected */
    uint64_t incarnation;
    contact_t contact;
    time_ns permit_until; /* end of its last read permit, at the latest */
    bool stopping;
    bool process_ended;    /* its connection broke while its heartbeats were on time */
    uint32_t store_age_ms; /* since the store last answered it, as of its last heartbeat */
    char *zone;
    char *forward_address;
    uint32_t workers;
    uint32_t millicores;          /* processor quota of its machine */
    uint64_t fleet_sent;          /* version of the fleet up to which changes were sent */
    uint64_t fleet_reported;      /* version of the fleet in its last heartbeat */
    time_ns fleet_reported_as_of; /* that heartbeat was sent after this; 0: not known */
    uint64_t orders_sent;         /* version of the orders sent on this connection */
    uint64_t orders_followed;     /* version of the orders that all its workers follow */
    row_versions_t known;         /* of the store's tables, counting rows in transit to it */
    row_versions_t confirmed;     /* of the store's tables, as its last heartbeat reported */
    time_ns rows_wait_since;      /* rows wait for capacity of the link since then; 0: none */
    time_ns unconfirmed_since;    /* rows were sent then and are not confirmed; 0: none */
    bool unconfirmed_logged;
    bool follows_store;      /* reads the store's changes itself, beside the coordinator */
    bool followed_store;     /* the same, before the current choice of followers */
    bool lacks_store;        /* the store does not answer it */
    bool takes_deltas;       /* accepts rows that are sent as deltas */
    bool takes_news;         /* accepts compressed orders and fleet members */
    uint64_t followers_sent; /* version of the list of followers sent to it */
    uint64_t mirrors_sent;   /* version of the list of mirrors sent to it */
    char *peer_address;      /* where it accepts connections of other poolers */
    GHashTable *reports;     /* service -> struct pooler_group_report; no empty reports */
};

/* A group, as the coordinator controls it. */
struct controlled_group {
    struct control *control;
    struct failover *failover;
    GHashTable *connections;       /* database id -> struct database_control */
    uint64_t orders_version;       /* of the group's newest order */
    struct failover_faults faults; /* reported by the poolers, by the newest aggregation */
    uint32_t reporters;            /* poolers with a recent heartbeat that report on the group */
    uint32_t in_flight;            /* statements open at the primary, by all poolers' reports */
    time_ns query_slot_at; /* start of its last slot for low-priority status queries; 0: none */
    bool active;           /* processed on every tick: a change or queries in progress */
    bool recording_done;   /* the record being written is that of a finished promotion */
    bool retired;          /* no longer controlled here; late answers are ignored */
};

/** Poolers of other zones that are asked for a sign of life at the same time. */
#define REACH_QUESTIONS 2

/** @brief A connection to such a pooler, and the question on it. */
typedef struct reach_question {
    struct control *control;
    struct peer *peer; /* NULL while there is no connection */
    struct peer_callbacks callbacks;
    time_ns asked_at; /* when the open question was sent; 0: none is open */
} reach_question_t;

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
    bool directory_settled;        /* every running database has had time to write its row */
    time_ns directory_known_since; /* its changes have been followed since then; 0: they are not */
    struct configuration *configuration;
    bool configuration_unread; /* the newest configuration could not be decoded */
    time_ns proven_at;         /* the configuration was the store's newest then; 0: not known */
    store_clock_t store_clock;
    uint64_t store_era; /* newest store era that the store or another pooler reported */
    time_ns era_since;  /* latest time at which a pooler first learned of that era */
    struct feed feeds[STORE_TABLE_COUNT];
    GHashTable *groups;  /* service -> struct group_state */
    GHashTable *members; /* database id -> struct member_shared, never removed */
    bool view_dirty;
    time_ns refreshed_at; /* last periodic rebuild of the view, for what changes with time alone */
    time_ns counted_at;   /* the counts were last logged */
    uint64_t incarnation;
    char *address;         /* of our peer listener, as other poolers reach it */
    char *forward_address; /* of our listener for forwarded statements, the same */
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
    uint32_t members_told;
    uint64_t news_told;     /* of the workers' news, those that were last told */
    uint64_t orders_taken;  /* version up to which orders have come from this coordinator */
    uint64_t orders_view;   /* number of the view that holds them */
    uint64_t orders_told;   /* version that was told as followed */
    uint64_t view_number;   /* of the newest view */
    uint64_t view_revision; /* of the newest state of a group in a view */
    bool follows_store;     /* by itself, as the coordinator asked */
    bool relayed;           /* others told what the store holds, as of the last look */
    uint64_t orders_known;  /* version of the newest orders that any coordinator gave */
    bool introduced_self;   /* the pooler at the other end has been told who we are */
    unsigned next_address;  /* place in the order of addresses that are tried */
    time_ns hearsay_at;     /* another pooler last told what it follows of the store */
    bool start_answered;    /* another pooler has answered since the start */
    time_ns told_as_of;     /* what others told was the store's newest then; 0: nothing yet */
    time_ns relied_until;   /* what others told of the store is relied on until then */
    row_versions_t told;    /* what the coordinator knew of the store's tables */
    row_versions_t offered; /* rows up to these were sent to it, and not confirmed yet */
    time_ns offered_at;
    double row_bytes; /* that may be sent to other poolers now, beside all else on the link */
    time_ns row_bytes_at;
    struct peer_callbacks coordinator_callbacks;
    zone_reach_t zone_reach;
    reach_question_t reach_questions[REACH_QUESTIONS];
    unsigned reach_turn;      /* place of the pooler that is asked next */
    time_ns reach_at;         /* the next look at it, at the earliest */
    bool coordinator_outside; /* the connection is to a pooler of another zone */
    /* As the coordinator. */
    struct lease lease;
    time_ns coordinator_since;
    /* End of all permits of a coordinator that handed its lease over to this one; 0: none. */
    time_ns predecessor_permits_until;
    uint32_t members_before; /* size of the fleet before this lease; 0: not known */
    time_ns started_at;
    int listener;
    struct event *acceptable; /* the listener has a connection to accept */
    struct peer_callbacks pooler_callbacks;
    GHashTable *poolers;          /* name -> struct pooler_peer */
    GHashTable *poolers_by_peer;  /* struct peer -> struct pooler_peer, not owned: connections whose
                                     pooler has sent its name */
    GHashTable *unconfirmed_rows; /* struct peer -> row_versions_t: rows sent in non-authoritative
                                     replies and not yet confirmed */
    GPtrArray *connected;         /* of struct peer: all accepted connections */
    GHashTable *controlled;       /* service -> struct controlled_group */
    struct failover_actions failover_actions;
    uint64_t orders_version; /* counts orders of all groups, starting at the lease's token */
    push_limiter_t push_limiter;
    news_cache_t news;      /* as the coordinator tells it */
    news_cache_t hearsay;   /* as this pooler tells it in its place */
    bool push_pending;      /* orders or owners have changed since the last push to the poolers */
    time_ns coordinated_at; /* last run of the coordinator's periodic work */
    bool coordination_due;  /* run it again at the end of its minimum interval */
    /* Versions of the orders that every pooler with a possibly valid permit follows, and that every
     * pooler follows, by the newest aggregation. */
    uint64_t orders_followed_with_permit;
    uint64_t orders_followed_by_all;
    bool records_read;         /* the records of promotions were read under this lease */
    time_ns records_until;     /* groups are not added before, unless the records were read */
    time_ns records_retry_at;  /* the records are read again; 0: a read is in progress or done */
    uint64_t records_token;    /* of the lease under which the records are being read */
    time_ns groups_checked_at; /* all groups were last processed, not just the active ones */
    control_counts_t counts;   /* since the start */
    fleet_t *fleet;            /* the poolers that share the connections to the databases */
    roster_t *roster;          /* those of them that count operations; NULL: none is known */
    time_ns roster_until;      /* it is relied on until then */
    time_ns fleet_at;          /* when it is decided next */
    time_ns thin_since;        /* many of it have been missing since then; 0: they are not */
    /* Set of the forward addresses of poolers with a recent heartbeat. Filled by the first use in
     * each aggregation, empty before. */
    GHashTable *responsive_addresses;
    bool rows_to_push;          /* rows were learned since the last push to the poolers */
    time_ns followers_at;       /* when the followers of the store were last chosen */
    GPtrArray *followers;       /* their peer addresses, as chosen here or told last */
    uint64_t followers_version; /* rises with each choice that changes them */
    mirrors_t mirrors;
};

/* control.c */
/** @brief Has all parts run once more after the current event. */
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
/** @brief Takes the store era that the store or another pooler has reported. A newer one than the
 *  known era means that the store was restored from a copy.
 *  @param age minimum time for which the reporter has known the era. */
void control_era_note(struct control *control, uint64_t era, time_ns age);
/** @return minimum time for which the store era has been known. */
time_ns control_era_age(const struct control *control, time_ns now);
/** @return true if the configuration that was the store's newest at `moment` proves which keys are
 *  valid. It does not shortly after a restore, when it may be an outdated copy. */
bool control_era_proves(const struct control *control, time_ns moment);
/** @return true if the version belongs to an earlier era than the newest known one. */
bool control_era_is_over(const struct control *control, uint64_t version);
/** @return true if a row that is known from an earlier era is newer than its state in the restored
 *  store, and has to be kept.
 *  @param value of the row in the restored store; NULL: the store has no such row. */
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
bool control_feed_lists(const struct feed *feed, time_ns now);
/** @brief What is known here of the table was the store's newest at that moment (0: nothing is
 *  told). */
void control_feed_prove(struct feed *feed, time_ns moment);

/* control_relay.c */
/** @brief Fills in what somebody lacks. More than a message should hold is left to the store,
 * unless the receiver lacks that. */
void control_relay_fill(const struct control *control, const relay_receiver_t *to, time_ns now,
                        struct pooler_relay *relay);
/** @brief Fills in no rows: what is known there stays as it is. */
void control_relay_fill_nothing(const struct control *control, const row_versions_t *known,
                                time_ns now, struct pooler_relay *relay);
/** @return true if the pooler has confirmed all rows that it was sent. */
bool control_relay_is_confirmed(const struct pooler_peer *pooler);
/** @brief Takes over what a pooler says that it knows. */
void control_relay_confirm(struct pooler_peer *pooler, const struct pooler_relay *relay);
/** @brief Fills in what a pooler under this coordinator lacks, and notes it as sent. Rows wait
 * until those before are confirmed: where they come quicker than a link carries them, the newest
 * ones are sent, and orders and permits are not held up behind the rest. */
void control_relay_fill_for(struct control *control, struct pooler_peer *pooler, time_ns now,
                            struct pooler_relay *relay);
/** @brief The same for a pooler that asks one that is not the coordinator, by what it knows. */
void control_relay_fill_hearsay(struct control *control, struct peer *peer,
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
void control_relay_fill_whole(const struct control *control, struct pooler_relay *relay);
/** @return true if the link has room for rows to other poolers now. */
bool control_relay_may_send(struct control *control, time_ns now);
/** @brief Takes sent bytes of rows off that room. */
void control_relay_pay(struct control *control, size_t bytes);

/* control_reliance.c */
/** @brief Puts off this pooler's own look at the store, while others may tell it. */
void control_reliance_start(struct control *control);
/** @brief Puts it off once more, as another pooler has answered this one's first heartbeat. */
void control_reliance_peer_answered(struct control *control, time_ns now);
/** @brief Takes over, after the rows, how new the other pooler knows the tables to be, and relies
 * on them for as long as that allows.
 *  @param asked when that pooler was sent what it answers, by our clock; 0: it is not known. */
void control_reliance_renew(struct control *control, const struct pooler_relay *relay,
                            time_ns asked);
/** @brief The same for tables that a mirror has told. */
void control_reliance_take_tables(struct control *control, const struct pooler_relay *relay,
                                  time_ns asked);
/** @brief Takes over, after the rows, how new the other pooler knows the tables to be. Parameters
 * as of control_reliance_renew().
 *  @return when all that is known here was the store's newest, by that; 0: it is not told. */
time_ns control_reliance_prove(struct control *control, const struct pooler_relay *relay,
                               time_ns asked);
/** @return true if other poolers tell this one what the store holds. */
bool control_reliance_holds(const struct control *control, time_ns now);
/** @return true if others tell this pooler what the store holds, and have told it lately. */
bool control_reliance_is_told(const struct control *control, time_ns now);
/** @return true if others follow the store for this pooler, so that they see to the lease as well.
 */
bool control_reliance_is_led(const struct control *control, time_ns now);
/** @return true if this pooler has to ask the store about the table by itself. */
bool control_reliance_asks(const struct control *control, enum store_table table, time_ns now);
/** @return true if the store does not answer this pooler. */
bool control_reliance_lacks_store(const struct control *control);
/** @return milliseconds since the store last answered this pooler; UINT32_MAX for never. */
uint32_t control_reliance_store_age_ms(const struct control *control, time_ns now);

/* control_news.c */
/** @brief Fills in the orders and members that a pooler under this coordinator lacks, and notes
 * them as told. */
void control_news_fill(struct control *control, struct pooler_peer *pooler,
                       struct pooler_grant *grant);
/** @brief Fills in what a pooler lacks that asks one that is not the coordinator: the orders as
 * this one follows them, which permit nothing, and the members. */
void control_news_fill_hearsay(struct control *control, const struct pooler_heartbeat *heartbeat,
                               struct pooler_grant *grant);
/** @brief Puts what came packed in its place. @return false with `error` if it can't be read. */
bool control_news_unpack(struct pooler_grant *grant, GError **error);
/** @brief Frees what a cache holds; it may be filled again. */
void control_news_clear(news_cache_t *cache);

/* control_followers.c */
/** @brief Tells who the followers are, if not yet told. */
void control_followers_tell(const struct control *control, uint64_t told,
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
void control_mirrors_tell(const struct control *control, struct pooler_peer *pooler,
                          struct pooler_grant *grant);
/** @brief Takes over who they are; nothing if none are told. */
void control_mirrors_take(struct control *control, const struct pooler_mirror *mirrors,
                          size_t count);
/** @brief A pooler asks for the tables. */
void control_mirrors_question(struct control *control, struct peer *peer,
                              const struct pooler_heartbeat *question, time_ns now);
/** @brief The connection of a pooler that may have asked is over. */
void control_mirrors_forget(struct control *control, const struct peer *peer);
/** @return true while questions to this pooler wait. */
bool control_mirrors_is_asked(const struct control *control);
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
bool control_fleet_early(const struct control *control, time_ns now);
/** @brief Decides who belongs to the fleet. @return true if anything has changed. */
/** @return the roster as it is to be published; NULL if no fleet is known. */
roster_t *control_fleet_roster(struct control *control);
/** @brief The fleet as it is known here was the coordinator's at that moment, or later. */
void control_fleet_rely(struct control *control, time_ns moment);
/** @brief Notes that the store's row holds the fleet of this version. */
void control_fleet_row_told(struct control *control, uint64_t version, time_ns now);
/** @brief Notes that the store may have no row that holds the fleet. */
void control_fleet_row_lost(struct control *control);
/** @brief Decides who belongs to the fleet. @return true if anything has changed. */
bool control_fleet_decide(struct control *control, time_ns now);
/** @brief Decides from time to time, at the coordinator, and tells the poolers of changes. */
void control_fleet_tick(struct control *control, time_ns now);

/* control_lease.c */
void control_lease_tick(struct control *control, time_ns now);
/** @return true if this pooler holds the lease for more than `margin` from now on. */
bool control_lease_holds(const struct control *control, time_ns now, time_ns margin);
/** @return true if this pooler does not take a free lease yet, so that a stronger machine can take
 *  it first. */
bool control_lease_defers(struct control *control, bool free, time_ns now);
/** @return for how long this pooler certainly holds the lease; 0 if it does not hold it. */
time_ns control_lease_remaining(const struct control *control, time_ns now);
/** @brief Applies the lease row and the other control rows of a store answer. Ends the lease if the
 *  row names another holder. */
void control_lease_apply_answer(struct control *control, const struct store_answer *answer);
/** @brief Gives the lease up at a graceful shutdown: hands it over if there is a successor, and
 *  writes it as expired. */
void control_lease_release(struct control *control);
/** @brief Encodes the lease row together with the fleet. The fleet is compressed if it is large,
 * and left out if the row would exceed the store's limit. @return the row. */
GByteArray *control_lease_encode(const struct control *control, struct lease_record *record);
/** @brief Decodes such a row. @return false with `error` if it is malformed. */
bool control_lease_decode(const uint8_t *data, gsize length, struct lease_record *out,
                          GError **error);
/** @return the key of the lease row of the current store era; the caller frees it. */
char *control_lease_key(const struct control *control);
/** @return for how long the renewal of the lease that is held has been overdue; 0: it is not. */
time_ns control_lease_overdue(const struct control *control, time_ns now);
/** @brief Reads the lease row as soon as possible, to take the lease if it is free. */
void control_lease_check_now(struct control *control);
/** @brief The holder of the lease with this token has handed it over to this pooler. Takes it
 * without waiting for its expiry. */
void control_lease_accept_handover(struct control *control, uint64_t token);
/** @return true if the renewal is so long overdue that the lease should be handed over to a pooler
 *  that the store still answers. */
bool control_lease_is_failing(const struct control *control, time_ns now);
/** @brief Stops acting as the coordinator, if this pooler holds the lease.
 *  @param reason for the log. */
void control_lease_end(struct control *control, const char *reason);

/** @return the processor quota of this machine, in thousandths of a core. */
uint32_t control_millicores(const struct control *control);

/* control_member.c: as a pooler under a coordinator */
void control_member_tick(struct control *control, time_ns now);
/** @return true if this pooler had better connect to the coordinator at the address that it was
 * told by another one: it is not the one that it knows, or a newer one has come up there. */
bool control_member_moves(const struct control *control, const char *address, time_ns now);
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

/* control_reach.c */
/** @brief Asks poolers of other zones while none is heard, and decides whether this zone is cut
 *  off. */
void control_reach_tick(struct control *control, time_ns now);
/** @brief A pooler of this zone was heard; counts if it is another zone than ours. */
void control_reach_heard(struct control *control, const char *zone, time_ns now);
/** @return what the decision needs of the fleet and the store. */
zone_reach_view_t control_reach_view(const struct control *control);
/** @return true if a pooler of another zone runs on the machine of this address. */
bool control_reach_is_outside(const struct control *control, const char *address);

/* control_coordinator.c: the coordinator's connections to the poolers */
/** @brief Listens for the connections of other poolers. @return false with `error` if it can't. */
bool control_coordinator_listen(struct control *control, GError **error);
void control_coordinator_stop(struct control *control);
/** @brief Starts as the coordinator, once the lease is held. */
void control_coordinator_start(struct control *control);
/** @brief Ends as the coordinator, once the lease is no longer held. */
void control_coordinator_end(struct control *control);
void control_coordinator_tick(struct control *control, time_ns now);
/** @brief Runs the coordinator's periodic work as soon as its minimum interval allows. */
void control_coordinator_wake(struct control *control);
/** @return when the coordinator's periodic work is due; UINT64_MAX: with the next regular tick. */
time_ns control_coordinator_due(const struct control *control);
/* control_lease_handover.c */
/** @brief Hands the lease over to a pooler that the store answers.
 *  @param planned at a graceful shutdown: to any responsive pooler.
 *  @return false if there is none. */
bool control_coordinator_hand_over(struct control *control, bool planned);
/** @brief Has changed orders and fleet members sent to the poolers at the end of this run of the
 *  periodic work: one message to each pooler, however many groups have changed. */
void control_coordinator_push(struct control *control);

/** @return true if `pooler` is a better successor for the lease than `than` (NULL: none). The
 *  stronger machine is, as it will receive the heartbeats of the whole fleet; among equals, the one
 *  with the more recent answer of the store. */
bool control_coordinator_prefers(const struct pooler_peer *pooler, const struct pooler_peer *than,
                                 time_ns now);
/** @brief Hands the lease over to a stronger machine, if there is one. @return true if it did. */
bool control_coordinator_hand_over_to_stronger(struct control *control, time_ns now);
/** @return how many poolers share the connections to the databases, as the coordinator counts. */
uint32_t control_coordinator_count(const struct control *control);

/* control_reports.c */
/** @brief Aggregates the reports of all poolers, by group, and the versions of the orders that they
 *  follow. */
void control_reports_aggregate(struct control *control, time_ns now);
/** @brief Counts the poolers that could report a fault of the group's primary, if any reports on
 * it. */
void control_reports_count_poolers(struct control *control, struct controlled_group *group,
                                   time_ns now);

/* control_groups.c: the groups that this coordinator controls */
void control_groups_start(struct control *control);
void control_groups_end(struct control *control);
void control_groups_tick(struct control *control, time_ns now);

#endif
