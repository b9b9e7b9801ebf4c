/* The steps of one fetch of a configuration; see the header. */
#include "daemon/configuration_fetch.h"

#include <malloc.h>
#include <pthread.h>
#include <string.h>

#include "backend/clock.h"
#include "configuration/canonical.h"
#include "configuration/problem.h"
#include "configuration/version_store.h"
#include "daemon/configuration_content.h"

/* Time-out of one request to another daemon. */
#define PEER_TIMEOUT_MS 2000

/* State of one fetch, on its thread's stack. */
struct fetch {
    const struct fetch_context *context;
    const struct fetch_request *request;
    struct published_configuration *current; /* in force when the fetch began; or NULL */
    struct fetch_result *result;
};

static struct configuration_mark mark_of_current(const struct fetch *fetch)
{
    if (fetch->current == NULL) {
        return (struct configuration_mark){0};
    }
    return published_configuration_mark(fetch->current);
}

static void fail(struct fetch *fetch, const char *text)
{
    fetch->result->outcome = FETCH_OUTCOME_FAILED;
    g_strlcpy(fetch->result->text, text, FETCH_TEXT_SIZE);
}

static void refuse(struct fetch *fetch, struct configuration_mark mark, const char *text)
{
    fetch->result->outcome = FETCH_OUTCOME_REFUSED;
    fetch->result->refused = mark;
    g_strlcpy(fetch->result->text, text, FETCH_TEXT_SIZE);
}

/* Parses a content. One at a time in the process: parsing a large content temporarily takes many
 * times its size in memory, which is returned to the system at once. */
static struct configuration *parse(GBytes *content, GPtrArray *problems)
{
    static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
    struct configuration *configuration = NULL;
    pthread_mutex_lock(&lock);
    configuration_parse_canonical(content, "published", &configuration, problems);
    malloc_trim(0);
    pthread_mutex_unlock(&lock);
    return configuration;
}

/* Parses a complete content whose hash was checked, and computes its difference from the version in
 * force here, to serve it to daemons that have the same version. */
static void accept_content(struct fetch *fetch, struct configuration_mark mark, GBytes *content)
{
    g_autoptr(GPtrArray) problems = configuration_problems_new();
    struct configuration *configuration = parse(content, problems);
    if (configuration == NULL) {
        g_autofree char *first = configuration_problem_text(g_ptr_array_index(problems, 0));
        refuse(fetch, mark, first);
        fetch->result->unparsable = true;
        return;
    }
    struct configuration_difference difference = {0};
    if (fetch->current != NULL) {
        struct configuration *before = published_configuration_content(fetch->current);
        configuration_difference_make(configuration_canonical(before), content, &difference);
    }
    fetch->result->outcome = FETCH_OUTCOME_FOUND;
    fetch->result->published =
        published_configuration_new(mark.version, configuration, mark_of_current(fetch),
                                    fetch->current != NULL ? &difference : NULL);
    configuration_unref(configuration);
}

/* Fetch from the store. */

static void get_bundle(struct fetch *fetch, const char *hash)
{
    g_autoptr(GBytes) content = NULL;
    g_autoptr(GError) error = NULL;
    enum platform_result result =
        version_store_get_bundle(fetch->context->store, hash, &content, &error);
    if (result == PLATFORM_RESULT_OK) {
        accept_content(fetch, fetch->result->head, content);
    } else if (result == PLATFORM_RESULT_REFUSED) {
        refuse(fetch, fetch->result->head, error->message);
    } else {
        fail(fetch, error != NULL ? error->message : platform_result_name(result));
    }
}

/* True if the head's content is requested and not already in force. */
static bool wants_head(const struct fetch *fetch)
{
    uint64_t head = fetch->result->head.version;
    if (head == 0 || head <= mark_of_current(fetch).version) {
        return false;
    }
    bool newer = head > fetch->request->wanted.version;
    return newer ||
           (fetch->request->source == FETCH_SOURCE_STORE && head == fetch->request->wanted.version);
}

/* Reads the head into the result. The caller frees `row`, which stays NULL unless a version is
 * published. */
static void read_head(struct fetch *fetch, struct version_row **row)
{
    g_autoptr(GError) error = NULL;
    enum platform_result result = version_store_read_head(fetch->context->store, row, &error);
    fetch->result->head_known = result == PLATFORM_RESULT_OK || result == PLATFORM_RESULT_NOT_FOUND;
    if (*row != NULL) {
        fetch->result->head = configuration_mark_of((*row)->version, (*row)->hash);
    }
    if (!fetch->result->head_known) {
        fail(fetch, error != NULL ? error->message : platform_result_name(result));
    }
}

static void fetch_from_store(struct fetch *fetch)
{
    struct version_row *row = NULL;
    read_head(fetch, &row);
    if (row != NULL && wants_head(fetch)) {
        get_bundle(fetch, row->hash);
    }
    version_row_free(row);
}

/* Handover by a publisher. */

static bool is_same(struct configuration_mark left, struct configuration_mark right)
{
    return left.version == right.version && left.hash == right.hash;
}

/* Processes a handover when the store's head is known: takes the head's content if the head is
 * newer, the handed over content if it is the head, and rejects it otherwise. */
static void check_handover_with_head(struct fetch *fetch, const char *head_hash)
{
    struct configuration_mark handed_over = fetch->request->wanted;
    if (fetch->result->head.version > handed_over.version) {
        get_bundle(fetch, head_hash);
    } else if (is_same(fetch->result->head, handed_over)) {
        accept_content(fetch, handed_over, fetch->request->content);
    } else {
        refuse(fetch, handed_over, "the store's head is not this version");
    }
}

/* Checks the handover without the store: accepts it if the publisher's base is the version in force
 * here. */
static void check_handover_without_head(struct fetch *fetch)
{
    struct configuration_mark handed_over = fetch->request->wanted;
    struct configuration_mark base = fetch->request->base;
    if (base.version + 1 == handed_over.version && is_same(base, mark_of_current(fetch))) {
        accept_content(fetch, handed_over, fetch->request->content);
    } else {
        refuse(fetch, handed_over, "its base is not the version in force here");
    }
}

static void process_handover(struct fetch *fetch)
{
    struct version_row *row = NULL;
    read_head(fetch, &row);
    if (fetch->result->head_known) {
        check_handover_with_head(fetch, row != NULL ? row->hash : "");
    } else {
        check_handover_without_head(fetch);
    }
    version_row_free(row);
}

/* Fetch from another daemon. */

/* The complete content that a reply yields, or NULL. */
static GBytes *content_of_reply(const struct fetch *fetch, const struct configuration_reply *reply)
{
    if (reply->base_version == 0) {
        return configuration_decompress(reply->content, reply->content_length);
    }
    if (fetch->current == NULL || reply->base_version != mark_of_current(fetch).version) {
        return NULL;
    }
    struct configuration *before = published_configuration_content(fetch->current);
    g_autoptr(GBytes) between = g_bytes_new_static(reply->content, reply->content_length);
    struct configuration_difference difference = {
        .keep_start = reply->keep_start,
        .keep_end = reply->keep_end,
        .between = between,
    };
    return configuration_difference_apply(configuration_canonical(before), &difference);
}

/* True if the content matches both the reply and the request. */
static bool matches_hashes(const struct fetch *fetch, const struct configuration_reply *reply,
                           struct configuration_mark mark, const char *hash)
{
    const struct configuration_mark *wanted = &fetch->request->wanted;
    bool wrong = wanted->version == mark.version && wanted->hash != 0 && wanted->hash != mark.hash;
    return !wrong && g_strcmp0(reply->hash, hash) == 0;
}

static void process_reply(struct fetch *fetch, const struct configuration_reply *reply)
{
    struct configuration_mark received =
        configuration_mark_of(reply->version, reply->hash != NULL ? reply->hash : "");
    g_autoptr(GBytes) content = content_of_reply(fetch, reply);
    if (content == NULL) {
        refuse(fetch, received, "the content can't be decoded");
        return;
    }
    g_autofree char *hash = canonical_hash(content);
    struct configuration_mark mark = configuration_mark_of(reply->version, hash);
    if (!matches_hashes(fetch, reply, mark, hash)) {
        refuse(fetch, received, "the content does not match its hash");
        return;
    }
    fetch->result->difference = reply->base_version != 0;
    accept_content(fetch, mark, content);
}

/* Sends one request. `base` is the version that a difference may start from; version 0: none. */
static void request_from_peer(struct fetch *fetch, struct configuration_mark base)
{
    struct message request;
    struct message reply;
    g_autoptr(GError) error = NULL;
    time_ns deadline = backend_now() + PEER_TIMEOUT_MS * NANOSECONDS_PER_MILLISECOND;
    message_init(&request, MESSAGE_KIND_CONFIGURATION_REQUEST);
    request.configuration_request.version = fetch->request->wanted.version;
    request.configuration_request.have_version = base.version;
    request.configuration_request.have_hash = base.hash;
    enum peer_call_result result = peer_call(fetch->context->peers, fetch->request->address,
                                             &request, &reply, deadline, &error);
    message_clear(&request);
    if (result != PEER_CALL_ANSWERED) {
        fail(fetch, error->message);
        return;
    }
    const struct configuration_reply *content = &reply.configuration_reply;
    bool there = reply.kind == MESSAGE_KIND_CONFIGURATION_REPLY && content->version != 0 &&
                 content->version >= fetch->request->wanted.version;
    if (there) {
        process_reply(fetch, content);
    }
    message_clear(&reply);
}

/* Requests a difference if this daemon has a version, and the complete content if the difference
 * can't be used. */
static void fetch_from_daemon(struct fetch *fetch)
{
    struct configuration_mark current = mark_of_current(fetch);
    request_from_peer(fetch, current);
    bool try_complete = fetch->result->outcome == FETCH_OUTCOME_REFUSED && current.version > 0 &&
                        !fetch->result->unparsable;
    if (try_complete) {
        fetch->result->outcome = FETCH_OUTCOME_NONE;
        fetch->result->difference = false;
        request_from_peer(fetch, (struct configuration_mark){0});
    }
}

/* True if the requested version came into force while the request was queued. */
static bool is_stale(const struct fetch *fetch)
{
    uint64_t wanted = fetch->request->wanted.version;
    return fetch->request->source != FETCH_SOURCE_HEAD && wanted > 0 &&
           mark_of_current(fetch).version >= wanted;
}

struct fetch_result *configuration_fetch(const struct fetch_context *context,
                                         const struct fetch_request *request)
{
    struct fetch fetch = {
        .context = context,
        .request = request,
        .current = configuration_share_take(context->share),
        .result = g_new0(struct fetch_result, 1),
    };
    fetch.result->request = *request;
    fetch.result->requested_at = backend_now();
    if (is_stale(&fetch)) {
        fetch.result->outcome = FETCH_OUTCOME_NONE;
    } else if (request->source == FETCH_SOURCE_PEER) {
        fetch_from_daemon(&fetch);
    } else if (request->source == FETCH_SOURCE_PUBLISHER) {
        process_handover(&fetch);
    } else {
        fetch_from_store(&fetch);
    }
    published_configuration_unref(fetch.current);
    return fetch.result;
}

void fetch_request_clear(struct fetch_request *request)
{
    g_clear_pointer(&request->content, g_bytes_unref);
}

void fetch_result_free(struct fetch_result *result)
{
    if (result == NULL) {
        return;
    }
    fetch_request_clear(&result->request);
    published_configuration_unref(result->published);
    g_free(result);
}
