/* One request from its first octet to its answer, on a connection of libmicrohttpd. Private to the
 * frontend.
 *
 * A call has two references: the connection's, dropped when libmicrohttpd completes the request,
 * and, from submit to frontend_answer, the daemon's. Whoever sets `answered` first writes the
 * answer; a later one is dropped. The connection is touched only by its own thread, or by that
 * first answerer while it is suspended and so can't go away. */
#ifndef SW_FRONTEND_CALL_H
#define SW_FRONTEND_CALL_H

#include "frontend/frontend.h"
#include "frontend/frontend_metrics.h"
#include "frontend/reply_json.h"
#include "frontend/request_path.h"
#include "sql/cache.h"

#include <glib.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdatomic.h>

/* Request line and headers, at most; with a token of full size 4,500 octets are left for others.
 * The connection's memory must hold the answer's headers besides. */
#define CALL_HEAD_OCTETS_MAX 7168

/* What all calls of a frontend share. */
struct call_shared {
    struct frontend_options options;
    struct frontend_metrics metrics;
    struct sql_cache *sql_cache;
    atomic_bool stopping;
    atomic_uint in_flight;
    atomic_uint connections;
    pthread_mutex_t mutex;
    pthread_cond_t changed; /* on CLOCK_MONOTONIC; signalled when one of the following falls */
    GHashTable *suspended;  /* under mutex: the set of calls submitted and not yet answered */
    unsigned resuming;      /* under mutex: answers being made */
    unsigned unwritten;     /* under mutex: answers not yet written to their callers */
    bool closed;            /* under mutex: nothing more is submitted */
};

enum call_state {
    CALL_STATE_RECEIVING, /* the body arrives */
    CALL_STATE_SUBMITTED, /* the daemon works on it; the connection is suspended */
    CALL_STATE_DONE,      /* the response is queued */
};

struct frontend_call {
    atomic_int references;
    atomic_bool answered;
    struct call_shared *shared; /* not touched once answered by another */
    struct MHD_Connection *connection;
    enum call_state state; /* of the connection's thread */
    bool submitted;        /* of the connection's thread: the daemon was given it */
    gint64 began_us;       /* monotonic */
    char *request_id;
    struct request_path path;
    struct frontend_tenant tenant;
    struct reply_shape shape;
    struct group_position *session; /* what the request had seen */
    size_t session_count;
    GByteArray *body;          /* until submitted */
    size_t body_octets;        /* received, kept or not */
    struct request *request;   /* until submitted */
    GError *refusal;           /* the first fault found; ends the call without the daemon */
    uint32_t refusal_position; /* 1-based place of the fault; 0: none */
    atomic_bool made;          /* publishes the two below to the connection's thread */
    struct MHD_Response *response;
    unsigned status;
};

/* Callbacks of libmicrohttpd; `user` is the struct call_shared. */
enum MHD_Result call_on_access(void *user, struct MHD_Connection *connection, const char *url,
                               const char *method, const char *version, const char *upload_data,
                               size_t *upload_data_size, void **request_state);
void call_on_completed(void *user, struct MHD_Connection *connection, void **request_state,
                       enum MHD_RequestTerminationCode reason);

/* Submits nothing more, answers all calls that still wait, as of unknown outcome, and waits until
 * all answers are made and, for a bounded time, written. Returns how many calls it answered. */
unsigned call_cut_all(struct call_shared *shared);

#endif
