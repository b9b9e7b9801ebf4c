/* One request from its first byte to its answer, on a connection of libmicrohttpd. Private to the
 * frontend.
 *
 * A call has two references: the connection's, dropped when libmicrohttpd completes the request,
 * and, from submit to frontend_answer, the daemon's. The thread that sets `answered` first makes
 * the answer; later answers are dropped. The connection is used only by its own thread, or by the
 * thread that set `answered` while the connection is suspended: libmicrohttpd does not free a
 * suspended connection. */
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

/* Maximum size of the request line and headers. With a session token of maximum size, 4,500 bytes
 * are left for other headers. The connection's memory must also hold the headers of the answer. */
#define CALL_HEAD_BYTES_MAX 7168

/* State common to all calls of a frontend. */
struct call_shared {
    struct frontend_options options;
    struct frontend_metrics metrics;
    struct sql_cache *sql_cache;
    atomic_bool stopping;
    atomic_uint in_flight;
    atomic_uint connections;
    pthread_mutex_t mutex;
    pthread_cond_t changed; /* on CLOCK_MONOTONIC; signalled when one of the following decreases */
    GHashTable *suspended;  /* under mutex: the set of calls submitted and not yet answered */
    unsigned resuming;      /* under mutex: calls whose answer is being made */
    unsigned unwritten;     /* under mutex: answers not yet written to their callers */
    bool closed;            /* under mutex: no more calls are submitted */
};

enum call_state {
    CALL_STATE_RECEIVING, /* the body is being received */
    CALL_STATE_SUBMITTED, /* the daemon processes the request; the connection is suspended */
    CALL_STATE_DONE,      /* the response is queued */
};

struct frontend_call {
    atomic_int references;
    atomic_bool answered;
    struct call_shared *shared; /* not used after another thread has answered the call */
    struct MHD_Connection *connection;
    enum call_state state; /* used only by the connection's thread */
    bool submitted;        /* used only by the connection's thread: the daemon received the call */
    gint64 began_us;       /* monotonic */
    char *request_id;
    struct request_path path;
    struct frontend_tenant tenant;
    struct reply_shape shape;
    struct group_position *session; /* positions in the request's session token */
    size_t session_count;
    GByteArray *body;        /* until submitted */
    size_t body_bytes;       /* received, stored or discarded */
    struct request *request; /* until submitted */
    GError *refusal; /* the first error found; the call is then answered without the daemon */
    uint32_t refusal_position; /* 1-based position of the error in the body or statement; 0: none */
    atomic_bool response_ready; /* publishes the next two fields to the connection's thread */
    struct MHD_Response *response;
    unsigned status;
};

/* Callbacks of libmicrohttpd; `user` is the struct call_shared. */
enum MHD_Result call_on_access(void *user, struct MHD_Connection *connection, const char *url,
                               const char *method, const char *version, const char *upload_data,
                               size_t *upload_data_size, void **request_state);
void call_on_completed(void *user, struct MHD_Connection *connection, void **request_state,
                       enum MHD_RequestTerminationCode reason);

/* Stops submission, answers all calls that still wait with ERROR_KIND_OUTCOME_UNKNOWN, then waits
 * until all answers are made and, for at most 2 s, until they are written. Returns the number of
 * calls answered in this way. */
unsigned call_abort_all(struct call_shared *shared);

#endif
