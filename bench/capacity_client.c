/* Many keep-alive connections to one daemon, held by one thread: as many callers as a daemon has at
 * full size, for the capacity measurements. It reads commands from the standard input, a line each,
 * and answers each by one line of JSON:
 *   connect N   opens N connections and sends nothing over them
 *   open N      opens N connections at once and sends one read over each; those that are refused
 *               come back when they were told to
 *   close       closes all connections
 * It ends at the end of its input. */
#include <curl/curl.h>
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

#include "core/types.h"
#include "wire/address.h"

#define CONNECTIONS_MAX 16384
#define EVENTS_MAX      512
#define COMMAND_MAX     64

/* An answer that has not come by then is lost. */
#define ANSWER_TIMEOUT_MS 30000L

/* How much longer a caller goes on to come back after refusals, from its first sending. */
#define GIVE_UP_NS (20 * NANOSECONDS_PER_SECOND)

static const char READ_BODY[] = "{\"sql\":\"SELECT 1\",\"access\":\"read\"}";

/* One caller of an `open` command: one connection, and one request until it is done. */
struct caller {
    struct client *client;
    CURL *easy;
    time_ns began_at;
    time_ns retry_at; /* when to come back after a refusal; 0 if not refused */
    bool answered;
};

/* What an `open` command has seen. */
struct summary {
    time_ns began_at;
    time_ns first_answers_at; /* when the last caller got its first answer */
    GArray *latencies;        /* of time_ns: from the command to the first answer */
    uint32_t wanted;
    uint32_t answered; /* callers with at least one answer */
    uint32_t ended;    /* callers that were done, or gave up */
    uint32_t done;
    uint32_t refusals; /* answers other than done */
    uint32_t refused;  /* callers refused at least once */
    uint32_t lost;     /* callers without an answer */
};

struct client {
    const char *url;
    struct sockaddr_in address;
    struct curl_slist *headers;
    CURLM *multi;
    int epoll;
    time_ns timer_at;   /* when libcurl wants to be called; UINT64_MAX for never */
    GPtrArray *plain;   /* descriptors of `connect` */
    GPtrArray *refused; /* struct caller that wait to come back */
    struct summary summary;
    bool opening;
};

static time_ns now_ns(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (time_ns)now.tv_sec * NANOSECONDS_PER_SECOND + (time_ns)now.tv_nsec;
}

static double to_ms(time_ns duration)
{
    return (double)duration / (double)NANOSECONDS_PER_MILLISECOND;
}

/* libcurl's sockets in the epoll set. */

static int on_socket(CURL *easy, curl_socket_t socket, int what, void *user, void *known)
{
    struct client *client = user;
    struct epoll_event event = {.data.fd = socket};
    if (what == CURL_POLL_REMOVE) {
        epoll_ctl(client->epoll, EPOLL_CTL_DEL, socket, NULL);
        return 0;
    }
    event.events |= (what & CURL_POLL_IN) != 0 ? (uint32_t)EPOLLIN : 0;
    event.events |= (what & CURL_POLL_OUT) != 0 ? (uint32_t)EPOLLOUT : 0;
    if (epoll_ctl(client->epoll, EPOLL_CTL_MOD, socket, &event) != 0 && errno == ENOENT) {
        epoll_ctl(client->epoll, EPOLL_CTL_ADD, socket, &event);
    }
    return 0;
}

static int on_timer(CURLM *multi, long timeout_ms, void *user)
{
    struct client *client = user;
    client->timer_at =
        timeout_ms < 0 ? UINT64_MAX : now_ns() + (time_ns)timeout_ms * NANOSECONDS_PER_MILLISECOND;
    return 0;
}

static size_t discard_body(char *data, size_t size, size_t count, void *user)
{
    return size * count;
}

static void start_multi(struct client *client)
{
    client->multi = curl_multi_init();
    client->timer_at = UINT64_MAX;
    curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
    curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
    curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, on_timer);
    curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
    curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS, (long)CONNECTIONS_MAX);
}

/* Callers. */

static void start_caller(struct client *client)
{
    struct caller *caller = g_new0(struct caller, 1);
    caller->client = client;
    caller->began_at = client->summary.began_at;
    caller->easy = curl_easy_init();
    curl_easy_setopt(caller->easy, CURLOPT_URL, client->url);
    curl_easy_setopt(caller->easy, CURLOPT_HTTPHEADER, client->headers);
    curl_easy_setopt(caller->easy, CURLOPT_POSTFIELDS, READ_BODY);
    curl_easy_setopt(caller->easy, CURLOPT_WRITEFUNCTION, discard_body);
    curl_easy_setopt(caller->easy, CURLOPT_TIMEOUT_MS, ANSWER_TIMEOUT_MS);
    curl_easy_setopt(caller->easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(caller->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(caller->easy, CURLOPT_PRIVATE, caller);
    curl_multi_add_handle(client->multi, caller->easy);
}

/* The connection stays open in libcurl's cache. */
static void end_caller(struct caller *caller)
{
    caller->client->summary.ended++;
    curl_easy_cleanup(caller->easy);
    g_free(caller);
}

static void note_first_answer(struct caller *caller, time_ns now)
{
    struct summary *summary = &caller->client->summary;
    if (caller->answered) {
        return;
    }
    caller->answered = true;
    time_ns latency = now - caller->began_at;
    g_array_append_val(summary->latencies, latency);
    summary->answered++;
    summary->first_answers_at = now;
}

static const char *header_of(CURL *easy, const char *name)
{
    struct curl_header *header = NULL;
    CURLHcode code = curl_easy_header(easy, name, 0, CURLH_HEADER, -1, &header);
    return code == CURLHE_OK ? header->value : NULL;
}

/* A refused caller comes back, over any connection that is open. */
static void take_refusal(struct caller *caller, time_ns now)
{
    struct summary *summary = &caller->client->summary;
    const char *retry_after = header_of(caller->easy, "Retry-After-Ms");
    summary->refusals++;
    if (caller->retry_at == 0) {
        summary->refused++;
    }
    if (retry_after == NULL || now > caller->began_at + GIVE_UP_NS) {
        end_caller(caller);
        return;
    }
    time_ns pause = g_ascii_strtoull(retry_after, NULL, 10) * NANOSECONDS_PER_MILLISECOND;
    caller->retry_at = now + MAX(pause, 1);
    g_ptr_array_add(caller->client->refused, caller);
}

static void take_result(struct client *client, CURL *easy, CURLcode code)
{
    struct caller *caller = NULL;
    time_ns now = now_ns();
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &caller);
    curl_multi_remove_handle(client->multi, easy);
    if (code != CURLE_OK) {
        client->summary.lost++;
        end_caller(caller);
        return;
    }
    note_first_answer(caller, now);
    if (g_strcmp0(header_of(easy, "Swiftworks-Outcome"), "done") == 0) {
        client->summary.done++;
        end_caller(caller);
    } else {
        take_refusal(caller, now);
    }
}

static void take_results(struct client *client)
{
    int left = 0;
    const CURLMsg *message = curl_multi_info_read(client->multi, &left);
    while (message != NULL) {
        if (message->msg == CURLMSG_DONE) {
            take_result(client, message->easy_handle, message->data.result);
        }
        message = curl_multi_info_read(client->multi, &left);
    }
}

static void send_again(struct client *client, time_ns now)
{
    for (guint i = client->refused->len; i > 0; i--) {
        struct caller *caller = g_ptr_array_index(client->refused, i - 1);
        if (now >= caller->retry_at) {
            g_ptr_array_remove_index_fast(client->refused, i - 1);
            curl_easy_setopt(caller->easy, CURLOPT_FRESH_CONNECT, 0L);
            curl_multi_add_handle(client->multi, caller->easy);
        }
    }
}

static gint compare_times(gconstpointer left, gconstpointer right)
{
    time_ns a = *(const time_ns *)left;
    time_ns b = *(const time_ns *)right;
    return a < b ? -1 : a > b;
}

static double percentile_ms(const GArray *sorted, guint percent)
{
    if (sorted->len == 0) {
        return 0;
    }
    guint index = MIN(sorted->len * percent / 100, sorted->len - 1);
    return to_ms(g_array_index(sorted, time_ns, index));
}

/* Prints what came of an `open` command once all its callers have ended. */
static void conclude(struct client *client)
{
    struct summary *summary = &client->summary;
    g_array_sort(summary->latencies, compare_times);
    printf(
        "{\"callers\": %u, \"done\": %u, \"refused_callers\": %u, \"refusals\": %u, \"lost\": %u, "
        "\"first_answer_p50_ms\": %.1f, \"first_answer_p99_ms\": %.1f, "
        "\"all_answered_ms\": %.1f, \"all_ended_ms\": %.1f}\n",
        summary->wanted, summary->done, summary->refused, summary->refusals, summary->lost,
        percentile_ms(summary->latencies, 50), percentile_ms(summary->latencies, 99),
        to_ms(summary->first_answers_at - summary->began_at), to_ms(now_ns() - summary->began_at));
    fflush(stdout);
    client->opening = false;
}

/* Commands. */

static void open_callers(struct client *client, uint32_t count)
{
    struct summary *summary = &client->summary;
    g_array_set_size(summary->latencies, 0);
    *summary = (struct summary){
        .latencies = summary->latencies,
        .wanted = count,
        .began_at = now_ns(),
        .first_answers_at = now_ns(),
    };
    client->opening = true;
    for (uint32_t i = 0; i < count; i++) {
        start_caller(client);
    }
}

static void connect_plain(struct client *client, uint32_t count)
{
    uint32_t failed = 0;
    for (uint32_t i = 0; i < count; i++) {
        int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (connect(descriptor, (struct sockaddr *)&client->address, sizeof(client->address)) ==
            0) {
            g_ptr_array_add(client->plain, GINT_TO_POINTER(descriptor));
        } else {
            close(descriptor);
            failed++;
        }
    }
    printf("{\"connected\": %u, \"failed\": %u}\n", count - failed, failed);
    fflush(stdout);
}

static void close_all(struct client *client)
{
    for (guint i = 0; i < client->plain->len; i++) {
        close(GPOINTER_TO_INT(g_ptr_array_index(client->plain, i)));
    }
    g_ptr_array_set_size(client->plain, 0);
    curl_multi_cleanup(client->multi);
    start_multi(client);
    printf("{\"closed\": true}\n");
    fflush(stdout);
}

static void run_command(struct client *client, const char *line)
{
    uint32_t count = 0;
    if (sscanf(line, "open %" SCNu32, &count) == 1 && !client->opening &&
        count <= CONNECTIONS_MAX) {
        open_callers(client, count);
    } else if (sscanf(line, "connect %" SCNu32, &count) == 1 && count <= CONNECTIONS_MAX) {
        connect_plain(client, count);
    } else if (g_str_has_prefix(line, "close") && !client->opening) {
        close_all(client);
    } else {
        printf("{\"error\": \"not a command, or the last one has not ended\"}\n");
        fflush(stdout);
    }
}

/* Commands come one at a time, each after the answer to the last. False at the end of the input. */
static bool read_command(struct client *client)
{
    char line[COMMAND_MAX];
    if (fgets(line, sizeof(line), stdin) == NULL) {
        return false;
    }
    run_command(client, line);
    return true;
}

/* The loop. */

static int wait_ms(const struct client *client, time_ns now)
{
    time_ns until = client->timer_at;
    for (guint i = 0; i < client->refused->len; i++) {
        const struct caller *caller = g_ptr_array_index(client->refused, i);
        until = MIN(until, caller->retry_at);
    }
    if (until == UINT64_MAX) {
        return -1;
    }
    return until <= now ? 0 : (int)((until - now) / NANOSECONDS_PER_MILLISECOND) + 1;
}

static void hand_to_curl(struct client *client, const struct epoll_event *event)
{
    int running = 0;
    int flags = (event->events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
    flags |= (event->events & (EPOLLIN | EPOLLHUP)) != 0 ? CURL_CSELECT_IN : 0;
    flags |= (event->events & EPOLLERR) != 0 ? CURL_CSELECT_ERR : 0;
    curl_multi_socket_action(client->multi, event->data.fd, flags, &running);
}

static bool run_once(struct client *client)
{
    struct epoll_event events[EVENTS_MAX];
    bool more = true;
    int running = 0;
    int count = epoll_wait(client->epoll, events, EVENTS_MAX, wait_ms(client, now_ns()));
    for (int i = 0; i < count; i++) {
        if (events[i].data.fd == STDIN_FILENO) {
            more = read_command(client);
        } else {
            hand_to_curl(client, &events[i]);
        }
    }
    time_ns now = now_ns();
    if (now >= client->timer_at) {
        client->timer_at = UINT64_MAX;
        curl_multi_socket_action(client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }
    take_results(client);
    send_again(client, now);
    if (client->opening && client->summary.ended == client->summary.wanted) {
        conclude(client);
    }
    return more;
}

int main(int argc, char **argv)
{
    struct client client = {0};
    if (argc != 3 || !parse_address(argv[1], &client.address)) {
        fprintf(stderr, "usage: capacity-client IP:PORT TENANT\n");
        return EXIT_FAILURE;
    }
    g_autofree char *url = g_strdup_printf("http://%s/v1/tenants/%s/statements", argv[1], argv[2]);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    client.url = url;
    client.headers = curl_slist_append(NULL, "Content-Type: application/json");
    client.headers = curl_slist_append(client.headers, "Request-Timeout-Ms: 20000");
    client.epoll = epoll_create1(EPOLL_CLOEXEC);
    client.plain = g_ptr_array_new();
    client.refused = g_ptr_array_new();
    client.summary.latencies = g_array_new(FALSE, FALSE, sizeof(time_ns));
    setvbuf(stdin, NULL, _IONBF, 0);
    struct epoll_event event = {.events = EPOLLIN, .data.fd = STDIN_FILENO};
    epoll_ctl(client.epoll, EPOLL_CTL_ADD, STDIN_FILENO, &event);
    start_multi(&client);
    while (run_once(&client)) {
    }
    return EXIT_SUCCESS;
}
