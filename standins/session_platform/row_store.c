/* The store of rows. One thread serves requests; one lock guards the rows. A request for changes is
 * checked at once and then every FEED_POLL_MS, until there is a change or its waiting time is over.
 */
#include "standins/session_platform/row_store.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/thread.h>
#include <inttypes.h>
#include <jansson.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define FEED_POLL_MS 5

/* The most rows in one reply; the platform's limit. */
#define ROWS_MAX ((guint64)500)

struct row {
    char *table;
    char *part;
    char *key;
    json_t *value; /* NULL: deleted */
    uint64_t version;
    uint64_t changed; /* version of the last write that changed the value, not only the version */
};

/* A write and the state that it replaced, so that a restore can undo it. */
struct change {
    char *table;
    char *part;
    char *key;
    json_t *value;           /* the value before; NULL: the row was deleted or did not exist */
    uint64_t version_before; /* the row's version before; 0: the row did not exist */
    uint64_t changed_before; /* the row's `changed` before */
    uint64_t version;        /* of the write */
    gint64 at;               /* monotonic, in microseconds */
};

struct row_store {
    GMutex lock;
    GThread *thread;
    gint serving; /* atomic: set once the loop runs, because a stop before that would have no effect
                   */
    struct event_base *base;
    struct evhttp *http;
    uint16_t port;
    GPtrArray *rows; /* of struct row */
    uint64_t version;
    GPtrArray *changes;     /* of struct change, oldest first, since the start */
    uint64_t era;           /* number of restores from an older copy */
    uint64_t history_start; /* changes up to this version are no longer listed */
    struct row_store_faults faults;
    row_store_promote *promote;
    void *user;
    unsigned promotions;
    uint64_t token;
    bool token_fell;
    char *token_holder; /* holder that promoted under the highest token; NULL: none yet */
    bool token_shared;  /* a second holder promoted under the same token */
};

static void
free_row(gpointer data)
{
    struct row *row = data;
    g_free(row->table);
    g_free(row->part);
    g_free(row->key);
    json_decref(row->value);
    g_free(row);
}

static void
free_change(gpointer data)
{
    struct change *change = data;
    g_free(change->table);
    g_free(change->part);
    g_free(change->key);
    json_decref(change->value);
    g_free(change);
}

static struct row *
find_row(struct row_store *store, const char *table, const char *part, const char *key)
{
    for (guint i = 0; i < store->rows->len; i++) {
        struct row *row = g_ptr_array_index(store->rows, i);
        if (strcmp(row->table, table) == 0 && strcmp(row->part, part) == 0 &&
            strcmp(row->key, key) == 0) {
            return row;
        }
    }
    return NULL;
}

/* Records the state before a write, for a restore to an earlier version. */
static void
record_change(struct row_store *store, const struct row *row)
{
    struct change *change = g_new0(struct change, 1);
    *change = (struct change){
        .table = g_strdup(row->table),
        .part = g_strdup(row->part),
        .key = g_strdup(row->key),
        .value = json_incref(row->value),
        .version_before = row->version,
        .changed_before = row->changed,
        .version = store->version,
        .at = g_get_monotonic_time(),
    };
    g_ptr_array_add(store->changes, change);
}

/* Takes ownership of `value`. */
static void
put_row(struct row_store *store, const char *table, const char *part, const char *key,
        json_t *value)
{
    struct row *row = find_row(store, table, part, key);
    if (row == NULL) {
        row = g_new0(struct row, 1);
        row->table = g_strdup(table);
        row->part = g_strdup(part);
        row->key = g_strdup(key);
        g_ptr_array_add(store->rows, row);
    }
    record_change(store, row);
    g_clear_pointer(&row->value, json_decref);
    row->value = value;
    row->version = row->changed = store->version;
}

static json_t *
row_object(const struct row *row)
{
    json_t *object = json_pack("{s:s, s:s, s:s, s:I}", "table", row->table, "part", row->part,
                               "tlsKey", row->key, "ver", (json_int_t)row->version);
    if (row->value == NULL) {
        json_object_set_new(object, "gone", json_true());
    } else {
        json_object_set(object, "value", row->value);
    }
    return object;
}

static json_t *
answer_object(struct row_store *store, json_t *rows)
{
    json_int_t now = (json_int_t)(g_get_monotonic_time() / 1000);
    return json_pack("{s:o, s:I, s:I}", "rows", rows, "ver", (json_int_t)store->version, "now_ms",
                     now);
}

/* Takes ownership of `body`. */
static void
reply(const struct row_store *store, struct evhttp_request *request, int status, json_t *body)
{
    struct evbuffer *output = evbuffer_new();
    g_autofree char *era = g_strdup_printf("%" PRIu64, store->era);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Store-Era", era);
    if (body != NULL) {
        char *text = json_dumps(body, JSON_COMPACT);
        evbuffer_add(output, text, strlen(text));
        free(text);
        json_decref(body);
    }
    evhttp_send_reply(request, status, NULL, output);
    evbuffer_free(output);
}

static const char *
query_value(const struct evkeyvalq *query, const char *name)
{
    const char *value = evhttp_find_header(query, name);
    return value == NULL ? "" : value;
}

static json_t *
rows_after(struct row_store *store, const char *table, const char *part, uint64_t after,
           bool include_deleted)
{
    json_t *rows = json_array();
    for (guint i = 0; i < store->rows->len; i++) {
        const struct row *row = g_ptr_array_index(store->rows, i);
        bool matches = strcmp(row->table, table) == 0 && row->changed > after &&
                       (part == NULL || strcmp(row->part, part) == 0) &&
                       (include_deleted || row->value != NULL);
        if (matches) {
            json_array_append_new(rows, row_object(row));
        }
    }
    return rows;
}

/* Applies an injected fault to the request. True if the request must not be served. */
static bool
inject_failure(struct row_store *store, struct evhttp_request *request)
{
    if (store->faults.refuse) {
        reply(store, request, 503, NULL);
    }
    return store->faults.refuse || store->faults.unresponsive;
}

static int
compare_keys(const void *a, const void *b)
{
    json_t *const *first = a;
    json_t *const *second = b;
    return strcmp(json_string_value(json_object_get(*first, "tlsKey")),
                  json_string_value(json_object_get(*second, "tlsKey")));
}

/* At most `limit` rows whose keys are `from` or greater, sorted by key. Takes ownership of `rows`.
 */
static json_t *
make_page(json_t *rows, const char *from, size_t limit, bool *more)
{
    json_t *page = json_array();
    size_t count = json_array_size(rows);
    json_t **sorted = g_new0(json_t *, count + 1);
    for (size_t i = 0; i < count; i++) {
        sorted[i] = json_array_get(rows, i);
    }
    qsort(sorted, count, sizeof(json_t *), compare_keys);
    *more = false;
    for (size_t i = 0; i < count; i++) {
        const char *key = json_string_value(json_object_get(sorted[i], "tlsKey"));
        bool matches = strcmp(key, from) >= 0;
        *more = *more || (matches && json_array_size(page) >= limit);
        if (matches && !*more) {
            json_array_append(page, sorted[i]);
        }
    }
    g_free(sorted);
    json_decref(rows);
    return page;
}

static void
count_read(struct row_store *store)
{
    if (store->faults.restore_after_reads > 0 && --store->faults.restore_after_reads == 0) {
        store->era++;
    }
}

static void
serve_get(struct evhttp_request *request, struct row_store *store)
{
    struct evkeyvalq query;
    evhttp_parse_query_str(evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request)), &query);
    guint64 limit = g_ascii_strtoull(query_value(&query, "limit"), NULL, 10);
    g_mutex_lock(&store->lock);
    count_read(store);
    if (!inject_failure(store, request)) {
        bool more = false;
        json_t *rows =
            rows_after(store, query_value(&query, "table"), query_value(&query, "part"), 0, false);
        rows = make_page(rows, query_value(&query, "from"),
                         limit == 0 ? ROWS_MAX : MIN(limit, ROWS_MAX), &more);
        json_t *answer = answer_object(store, rows);
        json_object_set_new(answer, "more", json_boolean(more));
        if (store->faults.empty) {
            g_clear_pointer(&answer, json_decref);
        }
        reply(store, request, 200, answer);
    }
    g_mutex_unlock(&store->lock);
    evhttp_clear_headers(&query);
}

struct watch {
    struct row_store *store;
    struct evhttp_request *request;
    char *table;
    uint64_t after;
    gint64 until;
};

/* True if the changes after this version can't be listed: their history was discarded, or the
 * version was assigned in an era whose later writes a restore has undone. */
static bool
history_missing(const struct row_store *store, uint64_t after)
{
    return store->faults.no_history || after < store->history_start || after > store->version;
}

static void
poll_feed(evutil_socket_t socket, short events, void *user)
{
    struct watch *watch = user;
    struct row_store *store = watch->store;
    g_mutex_lock(&store->lock);
    bool failed = inject_failure(store, watch->request);
    json_t *rows = failed ? NULL : rows_after(store, watch->table, NULL, watch->after, true);
    bool finished = failed || json_array_size(rows) > 0 || g_get_monotonic_time() >= watch->until;
    if (!failed && history_missing(store, watch->after)) {
        reply(store, watch->request, 410, NULL);
        json_decref(rows);
        finished = true;
    } else if (!failed && finished) {
        reply(store, watch->request, 200, answer_object(store, rows));
    } else {
        json_decref(rows);
    }
    g_mutex_unlock(&store->lock);
    if (finished) {
        g_free(watch->table);
        g_free(watch);
        return;
    }
    struct timeval delay = {0, FEED_POLL_MS * 1000};
    event_base_once(store->base, -1, EV_TIMEOUT, poll_feed, watch, &delay);
}

static void
on_feed(struct evhttp_request *request, void *user)
{
    struct evkeyvalq query;
    evhttp_parse_query_str(evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request)), &query);
    struct watch *watch = g_new0(struct watch, 1);
    watch->store = user;
    watch->request = request;
    watch->table = g_strdup(query_value(&query, "table"));
    watch->after = g_ascii_strtoull(query_value(&query, "after"), NULL, 10);
    watch->until =
        g_get_monotonic_time() + g_ascii_strtoll(query_value(&query, "waitMs"), NULL, 10) * 1000;
    evhttp_clear_headers(&query);
    poll_feed(-1, 0, watch);
}

static const char *
string_member(json_t *object, const char *name)
{
    const char *value = json_string_value(json_object_get(object, name));
    return value == NULL ? "" : value;
}

static struct row *
find_named_row(struct row_store *store, json_t *item)
{
    return find_row(store, string_member(item, "table"), string_member(item, "part"),
                    string_member(item, "tlsKey"));
}

static bool
conditions_hold(struct row_store *store, json_t *body, json_t *present)
{
    size_t index = 0;
    json_t *item = NULL;
    bool met = true;
    json_array_foreach(json_object_get(body, "expectedRev"), index, item)
    {
        const struct row *row = find_named_row(store, item);
        bool exists = row != NULL && row->value != NULL;
        uint64_t version = exists ? row->version : 0;
        met = met && version == (uint64_t)json_integer_value(json_object_get(item, "ver"));
        if (exists) {
            json_array_append_new(present, row_object(row));
        }
    }
    return met;
}

static void
write_rows(struct row_store *store, json_t *body)
{
    size_t index = 0;
    json_t *item = NULL;
    store->version++;
    json_array_foreach(json_object_get(body, "put"), index, item)
    {
        put_row(store, string_member(item, "table"), string_member(item, "part"),
                string_member(item, "tlsKey"), json_incref(json_object_get(item, "value")));
    }
}

/* True if the write is refused because of a row's key. */
static bool
is_refused(const struct row_store *store, json_t *body)
{
    size_t index = 0;
    json_t *item = NULL;
    json_array_foreach(json_object_get(body, "put"), index, item)
    {
        const char *prefix = store->faults.refused_prefix;
        if (prefix != NULL && g_str_has_prefix(string_member(item, "tlsKey"), prefix)) {
            return true;
        }
    }
    return false;
}

static json_t *
parse_body(struct evhttp_request *request)
{
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    size_t length = evbuffer_get_length(input);
    return json_loadb((const char *)evbuffer_pullup(input, -1), length, 0, NULL);
}

static void
serve_write(struct evhttp_request *request, struct row_store *store)
{
    json_t *body = parse_body(request);
    json_t *present = json_array();
    g_mutex_lock(&store->lock);
    if (is_refused(store, body)) {
        reply(store, request, 429, NULL);
    } else if (!inject_failure(store, request)) {
        bool met = conditions_hold(store, body, present);
        if (met) {
            write_rows(store, body);
        }
        if (!store->faults.lose_writes) {
            reply(store, request, met ? 200 : 412, answer_object(store, json_incref(present)));
        }
    }
    g_mutex_unlock(&store->lock);
    json_decref(present);
    json_decref(body);
}

struct delayed {
    struct evhttp_request *request;
    struct row_store *store;
    void (*serve)(struct evhttp_request *, struct row_store *);
};

static void
serve_delayed(evutil_socket_t socket, short events, void *user)
{
    struct delayed *delayed = user;
    delayed->serve(delayed->request, delayed->store);
    g_free(delayed);
}

static void
serve_later(struct evhttp_request *request, struct row_store *store,
            void (*serve)(struct evhttp_request *, struct row_store *))
{
    g_mutex_lock(&store->lock);
    unsigned delay_ms = store->faults.delay_ms;
    g_mutex_unlock(&store->lock);
    if (delay_ms == 0) {
        serve(request, store);
        return;
    }
    struct delayed *delayed = g_new(struct delayed, 1);
    *delayed = (struct delayed){request, store, serve};
    struct timeval delay = {delay_ms / 1000, (delay_ms % 1000) * 1000};
    event_base_once(store->base, -1, EV_TIMEOUT, serve_delayed, delayed, &delay);
}

static void
on_get(struct evhttp_request *request, void *user)
{
    serve_later(request, user, serve_get);
}

static void
on_write(struct evhttp_request *request, void *user)
{
    serve_later(request, user, serve_write);
}

/* Must be called before store->token is raised to `token`. */
static void
record_holder(struct row_store *store, struct evhttp_request *request, uint64_t token)
{
    const struct evkeyvalq *headers = evhttp_request_get_input_headers(request);
    const char *holder = evhttp_find_header(headers, "Swiftworks-Duty-Holder");
    bool again = store->token_holder != NULL && token == store->token;
    store->token_shared |= again && g_strcmp0(holder, store->token_holder) != 0;
    if (token > store->token || store->token_holder == NULL) {
        g_free(store->token_holder);
        store->token_holder = g_strdup(holder);
    }
}

static void
on_promotion(struct evhttp_request *request, void *user)
{
    struct row_store *store = user;
    json_t *body = parse_body(request);
    const char *fence =
        evhttp_find_header(evhttp_request_get_input_headers(request), "Swiftworks-Fencing-Token");
    uint64_t token = fence == NULL ? 0 : g_ascii_strtoull(fence, NULL, 10);
    g_mutex_lock(&store->lock);
    if (store->faults.hold_promotions) {
        g_mutex_unlock(&store->lock);
        json_decref(body);
        return;
    }
    store->promotions++;
    store->token_fell = store->token_fell || token < store->token;
    record_holder(store, request, token);
    store->token = MAX(store->token, token);
    g_mutex_unlock(&store->lock);
    bool promoted =
        store->promote(store->user, string_member(body, "service"), string_member(body, "id"));
    reply(store, request, promoted ? 200 : 409, NULL);
    json_decref(body);
}

static void
on_serving(evutil_socket_t socket, short events, void *user)
{
    struct row_store *store = user;
    g_atomic_int_set(&store->serving, 1);
}

/* Waits until the loop runs: a stop before that would have no effect. */
static void
wait_until_serving(struct row_store *store)
{
    while (g_atomic_int_get(&store->serving) == 0) {
        g_usleep(1000);
    }
}

static gpointer
serve(gpointer user)
{
    struct row_store *store = user;
    const struct timeval now = {0, 0};
    event_base_once(store->base, -1, EV_TIMEOUT, on_serving, store, &now);
    event_base_loop(store->base, EVLOOP_NO_EXIT_ON_EMPTY);
    return NULL;
}

struct row_store *
row_store_start(row_store_promote *promote, void *user)
{
    struct sockaddr_in address = {0};
    socklen_t length = sizeof address;
    evthread_use_pthreads();
    struct row_store *store = g_new0(struct row_store, 1);
    g_mutex_init(&store->lock);
    store->promote = promote;
    store->user = user;
    store->rows = g_ptr_array_new_with_free_func(free_row);
    store->changes = g_ptr_array_new_with_free_func(free_change);
    store->base = event_base_new();
    store->http = evhttp_new(store->base);
    struct evhttp_bound_socket *bound = evhttp_bind_socket_with_handle(store->http, "127.0.0.1", 0);
    g_assert_nonnull(bound);
    getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&address, &length);
    store->port = ntohs(address.sin_port);
    evhttp_set_cb(store->http, "/swiftworks/rows-get", on_get, store);
    evhttp_set_cb(store->http, "/swiftworks/rows-feed", on_feed, store);
    evhttp_set_cb(store->http, "/swiftworks/rows-tx", on_write, store);
    evhttp_set_cb(store->http, "/promotion", on_promotion, store);
    store->thread = g_thread_new("row-store", serve, store);
    wait_until_serving(store);
    return store;
}

void
row_store_stop(struct row_store *store)
{
    event_base_loopbreak(store->base);
    g_thread_join(store->thread);
    evhttp_free(store->http);
    event_base_free(store->base);
    g_ptr_array_unref(store->rows);
    g_ptr_array_unref(store->changes);
    g_free(store->token_holder);
    g_mutex_clear(&store->lock);
    g_free(store);
}

uint16_t
row_store_port(const struct row_store *store)
{
    return store->port;
}

void
row_store_set_faults(struct row_store *store, const struct row_store_faults *faults)
{
    g_mutex_lock(&store->lock);
    store->faults = *faults;
    g_mutex_unlock(&store->lock);
}

void
row_store_discard_history(struct row_store *store)
{
    g_mutex_lock(&store->lock);
    store->history_start = store->version;
    g_mutex_unlock(&store->lock);
}

uint64_t
row_store_version(struct row_store *store, unsigned ms_ago)
{
    gint64 moment = g_get_monotonic_time() - (gint64)ms_ago * 1000;
    uint64_t version = 0;
    g_mutex_lock(&store->lock);
    for (guint i = 0; i < store->changes->len; i++) {
        const struct change *change = g_ptr_array_index(store->changes, i);
        version = change->at <= moment ? change->version : version;
    }
    g_mutex_unlock(&store->lock);
    return version;
}

uint64_t
row_store_era(struct row_store *store)
{
    g_mutex_lock(&store->lock);
    uint64_t era = store->era;
    g_mutex_unlock(&store->lock);
    return era;
}

static void
undo_change(struct row_store *store, const struct change *change)
{
    struct row *row = find_row(store, change->table, change->part, change->key);
    if (change->version_before == 0) {
        g_ptr_array_remove(store->rows, row);
        return;
    }
    g_clear_pointer(&row->value, json_decref);
    row->value = json_incref(change->value);
    row->version = change->version_before;
    row->changed = change->changed_before;
}

void
row_store_restore(struct row_store *store, uint64_t version)
{
    g_mutex_lock(&store->lock);
    for (guint i = store->changes->len; i > 0; i--) {
        const struct change *change = g_ptr_array_index(store->changes, i - 1);
        if (change->version <= version) {
            break;
        }
        undo_change(store, change);
        g_ptr_array_remove_index(store->changes, i - 1);
    }
    store->version = MIN(store->version, version);
    store->history_start = MIN(store->history_start, store->version);
    store->era++;
    g_mutex_unlock(&store->lock);
}

void
row_store_put_in(struct row_store *store, const char *table, const char *part, const char *key,
                 const char *text)
{
    json_t *value = text == NULL ? NULL : json_loads(text, JSON_DECODE_ANY, NULL);
    g_mutex_lock(&store->lock);
    store->version++;
    put_row(store, table, part, key, value);
    g_mutex_unlock(&store->lock);
}

void
row_store_put(struct row_store *store, const char *table, const char *key, const char *text)
{
    row_store_put_in(store, table, "", key, text);
}

void
row_store_drop(struct row_store *store, const char *table, const char *key)
{
    g_mutex_lock(&store->lock);
    for (guint i = 0; i < store->rows->len; i++) {
        const struct row *row = g_ptr_array_index(store->rows, i);
        if (strcmp(row->table, table) == 0 && strcmp(row->key, key) == 0) {
            store->version++;
            put_row(store, table, row->part, key, NULL);
        }
    }
    g_mutex_unlock(&store->lock);
}

void
row_store_renew(struct row_store *store, const char *table, const char *key)
{
    g_mutex_lock(&store->lock);
    store->version++;
    struct row *row = find_row(store, table, "", key);
    record_change(store, row);
    row->version = store->version;
    g_mutex_unlock(&store->lock);
}

uint64_t
row_store_row_version(struct row_store *store, const char *table, const char *key)
{
    uint64_t version = 0;
    g_mutex_lock(&store->lock);
    for (guint i = 0; i < store->rows->len; i++) {
        const struct row *row = g_ptr_array_index(store->rows, i);
        if (strcmp(row->table, table) == 0 && strcmp(row->key, key) == 0 && row->value != NULL) {
            version = row->version;
        }
    }
    g_mutex_unlock(&store->lock);
    return version;
}

char *
row_store_get(struct row_store *store, const char *table, const char *key)
{
    char *text = NULL;
    g_mutex_lock(&store->lock);
    for (guint i = 0; i < store->rows->len; i++) {
        const struct row *row = g_ptr_array_index(store->rows, i);
        if (strcmp(row->table, table) == 0 && strcmp(row->key, key) == 0 && row->value != NULL) {
            char *dumped = json_dumps(row->value, JSON_COMPACT | JSON_ENCODE_ANY);
            g_free(text);
            text = g_strdup(dumped);
            free(dumped);
        }
    }
    g_mutex_unlock(&store->lock);
    return text;
}

unsigned
row_store_promotions(struct row_store *store)
{
    g_mutex_lock(&store->lock);
    unsigned count = store->promotions;
    g_mutex_unlock(&store->lock);
    return count;
}

uint64_t
row_store_token(struct row_store *store, bool *fell)
{
    g_mutex_lock(&store->lock);
    uint64_t token = store->token;
    *fell = store->token_fell;
    g_mutex_unlock(&store->lock);
    return token;
}

bool
row_store_token_shared(struct row_store *store)
{
    g_mutex_lock(&store->lock);
    bool shared = store->token_shared;
    g_mutex_unlock(&store->lock);
    return shared;
}
