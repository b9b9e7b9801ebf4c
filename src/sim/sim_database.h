/* Model of one database of a replicated group: a log of entries with terms, promises to
 * coordinators, a ledger of idempotency keys, replication with lag, and a few slots. */
#ifndef SW_SIM_DATABASE_H
#define SW_SIM_DATABASE_H

#include "sim/sim_entry.h"
#include "sim/sim_network.h"

/* Most statements that a database runs at once. */
#define SIM_SLOTS_MAX  64
#define SIM_SHARED_MAX 1000

struct sim_database_options {
    uint32_t slots;
    uint32_t shared;       /* databases, of all groups, among which each daemon shares slots */
    time_ns service_time;  /* how long a statement holds its slot */
    double service_spread; /* largest deviation from it, as a share */
    time_ns open_time;     /* time to open a connection */
    time_ns apply_delay;   /* time from holding an entry to showing it, at a replica */
    time_ns hold_delay;    /* added to the network's delay before a replica holds an entry */
};

enum sim_request_kind {
    SIM_REQUEST_STATUS,
    SIM_REQUEST_FENCE,
    SIM_REQUEST_PROMOTE,
    SIM_REQUEST_FOLLOW,
    SIM_REQUEST_SET_LEAVING,
    SIM_REQUEST_OPEN,      /* a new connection */
    SIM_REQUEST_WRITE,     /* with the ledger row if keyed, in one transaction */
    SIM_REQUEST_BEGIN,     /* opens a transaction */
    SIM_REQUEST_COMMIT,    /* runs the writes of a transaction that began in `term` */
    SIM_REQUEST_CLOSE_KEY, /* closes the key: returns its recorded outcome, or ensures that it never
                              runs */
    SIM_REQUEST_READ,
    SIM_REQUEST_WAIT_HELD,
};

/* A daemon's request to a database. */
struct sim_database_request {
    enum sim_request_kind kind;
    struct sim_node *from;
    uint64_t from_incarnation;
    sim_handler on_reply; /* takes a struct sim_database_reply */
    void *object;
    uint64_t tag;                    /* of the connection or command; copied to the reply */
    uint64_t term;                   /* FENCE, PROMOTE, FOLLOW, COMMIT */
    uint64_t coordinator;            /* FENCE, PROMOTE, FOLLOW */
    uint32_t primary;                /* FOLLOW */
    bool leaving;                    /* SET_LEAVING */
    uint64_t order;                  /* SET_LEAVING */
    struct sim_operation *operation; /* WRITE, CLOSE_KEY */
    uint64_t request_id;             /* READ, WRITE: id of the client's request */
    struct log_position wanted;      /* READ, WAIT_HELD */
    time_ns wait;                    /* READ, WAIT_HELD: longest wait for `wanted` */
};

enum sim_result {
    SIM_RESULT_OK,
    SIM_RESULT_REFUSED,
    SIM_RESULT_NOT_PRIMARY,
    SIM_RESULT_ALREADY_DONE,
    SIM_RESULT_KEY_CLOSED,
    SIM_RESULT_KEY_REUSED,
};

struct sim_database_reply {
    uint32_t database;
    enum sim_result result;
    uint64_t tag;
    uint64_t request_id;
    struct database_status status;
    struct log_position position; /* of a commit; or of a ledger row, or later */
    struct sim_entry *seen;       /* READ: last entry visible to it */
    struct sim_entry
        *durable; /* READ: last entry of `seen`'s log that a majority held at that time */
};

struct sim_database {
    struct sim_node node;
    struct sim_network *network;
    struct sim_database_options options;
    uint32_t index;
    uint32_t peer_count; /* databases of the group, including this one */
    struct sim_database **peers;
    GHashTable *keys; /* of the group: key -> newest struct sim_entry with it, in any log */

    bool no_ledger; /* TEST ONLY: loses idempotency keys (mutation) */

    enum database_role role;
    uint64_t term;
    uint64_t promised_term;
    uint64_t promised_to;
    int32_t following;
    bool leaving;
    uint64_t leaving_order;
    struct sim_entry *head;    /* last entry of the log held */
    struct sim_entry *applied; /* last entry visible to reads */
    bool synchronized;         /* the log came from the primary of this term */
    time_ns synchronized_at;
    uint32_t followers; /* bit per database that replicates from here */

    time_ns slot_free_at[SIM_SLOTS_MAX];
    uint32_t running; /* statements received and not finished */
    uint32_t running_peak;
    GPtrArray *waiters; /* struct sim_database_request of the waits in progress */

    double request_loss;   /* share of statements lost on the way to this database */
    double answer_loss;    /* share of answers to statements lost */
    bool replication_cut;  /* no replication to or from here */
    time_ns drained_at;    /* when an operator requested its drain; 0 if not */
    time_ns leaving_bound; /* it must get no new work later than this after the drain request; 0:
                              not checked */
    uint64_t late_work;    /* statements that arrived after that bound */
};

void sim_database_init(struct sim_database *database, struct sim_network *network, uint32_t index,
                       uint32_t zone, const struct sim_database_options *options);
void sim_database_clear(struct sim_database *database);

/* Starts its timers; call after init and after each restart. The log and promises persist over
 * restarts. */
void sim_database_start(struct sim_database *database);
void sim_database_kill(struct sim_database *database);

/* Erases a dead database: it will restart as new, with neither log nor promise. */
void sim_database_erase(struct sim_database *database);

struct database_status sim_database_status(const struct sim_database *database);

/* Sends a request from its `from` node to the database. The reply goes to on_reply, unless it is
 * lost. */
void sim_database_send(struct sim_database *database, const struct sim_database_request *request);

/* Sends it as a datagram, which may be lost: for probes. */
void sim_database_send_datagram(struct sim_database *database,
                                const struct sim_database_request *request);

#endif
