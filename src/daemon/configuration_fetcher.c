/* The fetcher's threads and their queued requests; see the header. */
#define G_LOG_DOMAIN "configuration"
#include "daemon/configuration_fetcher.h"

#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <sys/stat.h>
#include <unistd.h>

#include "configuration/version_store.h"
#include "core/error.h"
#include "generated/errors.h"

/* Maximum size of a file with a secret, and permission bits that it must not have. */
#define SECRET_BYTES_MAX    4096
#define SECRET_MODE_REFUSED 077

/* One thread and its queued requests, one per source. */
struct fetch_worker {
    struct configuration_fetcher *fetcher;
    pthread_t thread;
    pthread_mutex_t lock; /* guards all below */
    pthread_cond_t work;
    bool stopping;
    bool is_pending[FETCH_SOURCE_COUNT];
    struct fetch_request pending[FETCH_SOURCE_COUNT];
};

struct configuration_fetcher {
    struct fetch_context context;
    fetch_done_function done;
    void *user;
    struct fetch_worker store_worker;
    struct fetch_worker peer_worker;
};

/* Takes the queued request of one source; false if there is none. Called with the lock held. */
static bool take_from(struct fetch_worker *worker, enum fetch_source source,
                      struct fetch_request *request)
{
    if (!worker->is_pending[source]) {
        return false;
    }
    worker->is_pending[source] = false;
    *request = worker->pending[source];
    return true;
}

/* Waits for the next request. Requests for contents precede those for heads. Returns false when the
 * fetcher stops. */
static bool take_request(struct fetch_worker *worker, struct fetch_request *request)
{
    bool taken = false;
    pthread_mutex_lock(&worker->lock);
    while (!worker->stopping && !taken) {
        taken = take_from(worker, FETCH_SOURCE_PEER, request) ||
                take_from(worker, FETCH_SOURCE_PUBLISHER, request) ||
                take_from(worker, FETCH_SOURCE_STORE, request) ||
                take_from(worker, FETCH_SOURCE_HEAD, request);
        if (!taken) {
            pthread_cond_wait(&worker->work, &worker->lock);
        }
    }
    pthread_mutex_unlock(&worker->lock);
    return taken;
}

static void *run_worker(void *data)
{
    struct fetch_worker *worker = data;
    struct configuration_fetcher *fetcher = worker->fetcher;
    struct fetch_request request;
    while (take_request(worker, &request)) {
        fetcher->done(fetcher->user, configuration_fetch(&fetcher->context, &request));
    }
    return NULL;
}

static void start_worker(struct fetch_worker *worker, struct configuration_fetcher *fetcher)
{
    worker->fetcher = fetcher;
    pthread_mutex_init(&worker->lock, NULL);
    pthread_cond_init(&worker->work, NULL);
    if (pthread_create(&worker->thread, NULL, run_worker, worker) != 0) {
        g_error("Can't start a thread of the configuration fetcher.");
    }
}

struct configuration_fetcher *
configuration_fetcher_new(const struct configuration_fetcher_options *options)
{
    struct configuration_fetcher *fetcher = g_new0(struct configuration_fetcher, 1);
    fetcher->context.store = version_store_new(&options->platform);
    fetcher->context.peers = options->peers;
    fetcher->context.share = options->share;
    fetcher->done = options->done;
    fetcher->user = options->user;
    start_worker(&fetcher->store_worker, fetcher);
    start_worker(&fetcher->peer_worker, fetcher);
    return fetcher;
}

static void request_stop(struct fetch_worker *worker)
{
    pthread_mutex_lock(&worker->lock);
    worker->stopping = true;
    pthread_cond_signal(&worker->work);
    pthread_mutex_unlock(&worker->lock);
}

static void stop_worker(struct fetch_worker *worker)
{
    pthread_join(worker->thread, NULL);
    for (int source = 0; source < FETCH_SOURCE_COUNT; source++) {
        if (worker->is_pending[source]) {
            fetch_request_clear(&worker->pending[source]);
        }
    }
    pthread_cond_destroy(&worker->work);
    pthread_mutex_destroy(&worker->lock);
}

void configuration_fetcher_free(struct configuration_fetcher *fetcher)
{
    request_stop(&fetcher->store_worker);
    request_stop(&fetcher->peer_worker);
    stop_worker(&fetcher->store_worker);
    stop_worker(&fetcher->peer_worker);
    version_store_free(fetcher->context.store);
    g_free(fetcher);
}

/* True if the request must not replace the queued one. */
static bool is_superseded(const struct fetch_worker *worker, const struct fetch_request *request)
{
    return request->source == FETCH_SOURCE_PUBLISHER && worker->is_pending[request->source] &&
           request->wanted.version < worker->pending[request->source].wanted.version;
}

void configuration_fetcher_submit(struct configuration_fetcher *fetcher,
                                  const struct fetch_request *request)
{
    bool peer = request->source == FETCH_SOURCE_PEER;
    struct fetch_worker *worker = peer ? &fetcher->peer_worker : &fetcher->store_worker;
    struct fetch_request dropped = *request;
    pthread_mutex_lock(&worker->lock);
    if (!is_superseded(worker, request)) {
        dropped = worker->is_pending[request->source] ? worker->pending[request->source]
                                                      : (struct fetch_request){0};
        worker->pending[request->source] = *request;
        worker->is_pending[request->source] = true;
    }
    pthread_cond_signal(&worker->work);
    pthread_mutex_unlock(&worker->lock);
    fetch_request_clear(&dropped);
}

static void set_keys_error(GError **error, const char *path, const char *fault)
{
    g_set_error(error, SW_ERROR, ERROR_KIND_INVALID_CONFIGURATION, "%s: %s", path, fault);
}

/* Reads an open file with a secret into `text`, a zeroed buffer of SECRET_BYTES_MAX bytes. */
static bool read_secret(int file, const char *path, char *text, GError **error)
{
    struct stat status;
    if (fstat(file, &status) != 0 || !S_ISREG(status.st_mode)) {
        set_keys_error(error, path, "not a regular file");
        return false;
    }
    if ((status.st_mode & SECRET_MODE_REFUSED) != 0) {
        set_keys_error(error, path, "the file must not be open to group or others");
        return false;
    }
    ssize_t length = read(file, text, SECRET_BYTES_MAX);
    if (length < 0 || length == SECRET_BYTES_MAX) {
        set_keys_error(error, path, length < 0 ? g_strerror(errno) : "the file is too large");
        return false;
    }
    return true;
}

static bool open_secret(const char *path, char *text, GError **error)
{
    int file = open(path, O_RDONLY | O_CLOEXEC | O_NONBLOCK);
    if (file < 0) {
        set_keys_error(error, path, g_strerror(errno));
        return false;
    }
    bool good = read_secret(file, path, text, error);
    close(file);
    return good;
}

bool configuration_fetcher_read_keys(const char *path, char **access_key, char **secret_key,
                                     GError **error)
{
    char text[SECRET_BYTES_MAX] = "";
    *access_key = NULL;
    *secret_key = NULL;
    if (path[0] == '\0') {
        *access_key = g_strdup("");
        *secret_key = g_strdup("");
        return true;
    }
    if (!open_secret(path, text, error)) {
        return false;
    }
    g_auto(GStrv) words = g_strsplit_set(g_strstrip(text), " \t\n", -1);
    if (g_strv_length(words) != 2) {
        set_keys_error(error, path, "must hold an access key id, a space and the secret");
        return false;
    }
    *access_key = g_strdup(words[0]);
    *secret_key = g_strdup(words[1]);
    return true;
}
