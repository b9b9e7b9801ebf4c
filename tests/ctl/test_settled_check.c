/* Which daemons' word lets a change of databases follow. */
#include "ctl/settled_check.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <string.h>

#include "configuration/database_change.h"
#include "core/error.h"
#include "generated/errors.h"
#include "platform_fixture.h"

#define BASE  4
#define GROUP 7

/* A daemon's admin listener that has one answer. */
struct told {
    struct MHD_Daemon *listener;
    char *url;
    const char *status;
};

static enum MHD_Result on_call(void *user, struct MHD_Connection *connection, const char *path,
                               const char *method, const char *version, const char *upload,
                               size_t *upload_size, void **request_state)
{
    const struct told *told = user;
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(told->status), (void *)told->status, MHD_RESPMEM_PERSISTENT);
    enum MHD_Result result = MHD_queue_response(connection, MHD_HTTP_OK, response);

    MHD_destroy_response(response);
    return result;
}

static void tell(struct told *told, const char *status)
{
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

    told->status = status;
    told->listener = MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, on_call, told,
                                      MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_END);
    g_assert_nonnull(told->listener);
    told->url =
        g_strdup_printf("http://127.0.0.1:%u",
                        MHD_get_daemon_info(told->listener, MHD_DAEMON_INFO_BIND_PORT)->port);
}

static void hush(struct told *told)
{
    MHD_stop_daemon(told->listener);
    g_free(told->url);
}

static void check(char **urls, const char *expected)
{
    g_autoptr(GError) error = NULL;
    g_autoptr(GPtrArray) changes = g_ptr_array_new();
    struct database_change change = {.group = GROUP, .group_name = (char *)"beds"};

    g_ptr_array_add(changes, &change);
    bool settled = settled_check(urls, BASE, changes, &error);
    g_assert_true(settled == (expected == NULL));
    if (expected != NULL) {
        g_assert_error(error, SW_ERROR, ERROR_KIND_NOT_READY);
        g_assert_true(g_str_has_suffix(error->message, expected));
    }
}

static void check_status(const char *status, const char *expected)
{
    struct told told;

    tell(&told, status);
    check((char *[]){told.url, NULL}, expected);
    hush(&told);
}

#define STATUS(version, group)                                                                     \
    "{\"configuration\":{\"version\":" #version "},\"groups\":[{\"id\":6},{" group "}]}"

static void test_words(void)
{
    check_status(STATUS(4, "\"id\":7,\"owned_here\":true,\"settled\":true"), NULL);
    check_status(STATUS(3, "\"id\":7,\"owned_here\":true,\"settled\":true"),
                 ": it has version 3 in force");
    check_status(STATUS(5, "\"id\":7,\"owned_here\":true,\"settled\":true"),
                 ": it has version 5 in force");
    check_status(STATUS(4, "\"id\":7,\"owned_here\":false,\"settled\":true"),
                 ": it does not own the group");
    check_status(STATUS(4, "\"id\":8,\"owned_here\":true,\"settled\":true"),
                 ": it does not own the group");
    check_status(STATUS(4, "\"id\":7,\"owned_here\":true,\"settled\":false,"
                           "\"unsettled_reason\":\"it has no primary\""),
                 ": it has no primary");
    check_status("{}", ": the status contains no configuration");
    check_status("none", ": the answer is not a JSON object");
}

static void test_nobody_asked(void)
{
    check((char *[]){NULL}, "no owner given by --admin reports that its last change is complete");
}

/* One owner's word is enough, whatever the others say. */
static void test_one_of_several(void)
{
    struct told told;
    struct refusing_port port;

    refusing_port_open(&port);
    tell(&told, STATUS(4, "\"id\":7,\"owned_here\":true,\"settled\":true"));
    check((char *[]){port.url, told.url, NULL}, NULL);
    hush(&told);
    refusing_port_close(&port);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/settled-check/words", test_words);
    g_test_add_func("/settled-check/nobody-asked", test_nobody_asked);
    g_test_add_func("/settled-check/one-of-several", test_one_of_several);
    return g_test_run();
}
