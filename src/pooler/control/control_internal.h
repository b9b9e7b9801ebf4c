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
#include "pooler/control/zone_reachability.h"
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
    time_ns query_slot_at;   /* start of its last slot for low-priority status queries; 0: none */
    bool active;             /* processed on every tick: a change or queries in progress */
    bool recording_done;     /* the record being written is that of a finished promotion */
    GBytes *membership;      /* the record of its members that the store has; NULL: not known */
    uint64_t membership_era; /* store era of that record */
    uint64_t membership_revision; /* `failover->membership_revision` of that record */
    bool membership_applied;      /* the record of an earlier coordinator was applied */
    bool started;                 /* its members and records as of the start were applied */
    bool retired;                 /* no longer controlled here; late answers are ignored */
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
    uint64_t urgent_updates_sent; /* value of the workers' counter `urgent_updates` at the last
                                     heartbeat */
    uint64_t orders_received; /* version up to which this coordinator's orders have been received */
    uint64_t orders_view;     /* number of the view that contains those orders */
    uint64_t orders_reported; /* version up to which orders were last reported as followed */
    uint64_t view_number;     /* of the newest view */
    uint64_t view_revision;   /* of the newest state of a group in a view */
    bool follows_store;    /* reads the changes of the store itself, at the coordinator's request */
    bool relayed;          /* relayed state was valid at the last tick */
    uint64_t orders_known; /* version of the newest orders that any coordinator gave */
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
    /* End of all permits that were given under the lease before this one; 0: none is valid. */
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
    news_cache_t news;                  /* messages sent as the coordinator */
    news_cache_t nonauthoritative_news; /* messages sent in non-authoritative replies */
    bool push_pending;      /* orders or owners have changed since the last push to the poolers */
    time_ns coordinated_at; /* last run of the coordinator's periodic work */
    bool coordination_due;  /* run it again at the end of its minimum interval */
    /* Versions of the orders that every pooler with a possibly valid permit follows, and that every
     * pooler follows, by the newest aggregation. */
    uint64_t orders_followed_with_permit;
    uint64_t orders_followed_by_all;
    bool records_read;          /* the records of promotions were read under this lease */
    time_ns records_until;      /* groups are not added before, unless the records were read */
    time_ns records_retry_at;   /* the records are read again; 0: a read is in progress or done */
    uint64_t records_token;     /* of the lease under which the records are being read */
    GQueue orders;              /* of struct order (control_orders.c), that wait to be sent */
    struct order *order_sent;   /* the one that was sent and is not answered yet; NULL: none */
    bool membership_calling;    /* a write of records of members is in progress */
    time_ns membership_due_at;  /* the next such write is not sent before */
    time_ns groups_checked_at;  /* all groups were last processed, not just the active ones */
    control_counts_t counts;    /* since the start */
    fleet_t *fleet;             /* the poolers that share the connections to the databases */
    roster_t *roster;           /* those of them that count operations; NULL: none is known */
    time_ns roster_valid_until; /* the roster is in force until then */
    time_ns fleet_at;           /* when the fleet is next decided */
    time_ns many_missing_since; /* since when many members have been missing; 0: they are not */
    /* Set of the forward addresses of poolers with a recent heartbeat. Filled by the first use in
     * each aggregation, empty before. */
    GHashTable *responsive_addresses;
    bool rows_to_push;          /* rows were learned since the last push to the poolers */
    time_ns followers_at;       /* when the followers of the store were last chosen */
    GPtrArray *followers;       /* their peer addresses, as chosen here or received last */
    uint64_t followers_version; /* rises with each choice that changes them */
    mirrors_t mirrors;
};

/* control.c */
/** @brief Has all parts run once more after the current event. */
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
/** @brief Has the table's changes read at the next tick, without the usual interval. */
void control_feed_read_soon(struct feed *feed, time_ns now);
/** @return for how long a database whose row was deleted is kept in the directory. */
time_ns control_directory_forget_age(const struct control *control);
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
/** @return true if this pooler holds the lease for more than `margin` from now on. */
bool control_lease_holds(const struct control *control, time_ns now, time_ns margin);
/** @return true if the lease before this one had expired when this one was acquired, and with it
 *  all read permits that were given under it. A lease that was given up, or taken over early by a
 *  restarted holder, had not. */
bool control_lease_predecessor_expired(const struct control *control);
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
/** @brief Notes a database's start time, and drops the connection to its earlier process. */
void control_group_note_start(struct controlled_group *group, const char *database,
                              uint64_t born_ms, time_ns now);
/** @brief Drops one reference: that of the table, or of a finished call. */
void control_group_unref(struct controlled_group *group);
/** @brief Appends, for each group whose change of primary waits, for how long, as metrics. */
void control_groups_print_metrics(const struct control *control, GString *out);

/* control_orders.c: orders of promotions */
/** @brief Orders the promotion of a database, unless the group has an order that is not answered.
 */
void control_orders_add(struct controlled_group *group, const char *candidate);
/** @brief Sends the next order, if none is unanswered and the lease permits it. */
void control_orders_send(struct control *control);
/** @brief Drops the orders that have not been sent, as the lease has ended. */
void control_orders_drop(struct control *control);

/* control_membership.c: records of the groups' members in the store */
/** @brief Applies the record that an earlier coordinator has left, once for each lease. Without a
 *  complete one, or until the records are read, the group's members are not known. */
void control_membership_apply(struct controlled_group *group, time_ns now);
/** @brief Writes the records that have changed since they were last written. */
void control_membership_write(struct control *control, time_ns now);
/** @return the group's record, if the store has none or an older one as its row; else NULL. */
GBytes *control_membership_pending(struct controlled_group *group);
/** @return the key of the group's record; the caller frees it. */
char *control_membership_key(const struct controlled_group *group);
/** @return the service whose record has this key; NULL if it is of another kind. */
const char *control_membership_service(const char *key);

/* control_unwritten.c: records that the lease row takes along */
/** @brief Fills in the records that the store may not have as rows of their own. */
void control_unwritten_fill(const struct control *control, struct lease_record *out);
/** @brief Notes the version of the lease row with the records that it has first. */
void control_unwritten_note_version(struct lease_record *record, uint64_t row_version);
/** @return the record with this key, if the lease row has one that is newer than the row of its own
 *  with this version; else NULL. */
GBytes *control_unwritten_find(const struct control *control, const char *key,
                               uint64_t row_version);

#endif
