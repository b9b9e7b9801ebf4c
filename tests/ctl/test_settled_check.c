/* Which daemons' reports allow a further change of a group's databases. */
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

/* The admin listener of a daemon that always sends the same reply. */
struct fake {
    struct MHD_Daemon *listener;
    char *url;
    const char *status;
};

static enum MHD_Result on_call(void *user, struct MHD_Connection *connection, const char *path,
                               const char *method, const char *version, const char *upload,
                               size_t *upload_size, void **request_state)
{
    const struct fake *fake = user;
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(fake->status), (void *)fake->status, MHD_RESPMEM_PERSISTENT);
    enum MHD_Result result = MHD_queue_response(connection, MHD_HTTP_OK, response);

    MHD_destroy_response(response);
    return result;
}

static void start_fake(struct fake *fake, const char *status)
{
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

    fake->status = status;
    fake->listener = MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, on_call, fake,
                                      MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_END);
    g_assert_nonnull(fake->listener);
    fake->url =
        g_strdup_printf("http://127.0.0.1:%u",
                        MHD_get_daemon_info(fake->listener, MHD_DAEMON_INFO_BIND_PORT)->port);
}

static void stop_fake(struct fake *fake)
{
    MHD_stop_daemon(fake->listener);
    g_free(fake->url);
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
    struct fake fake;

    start_fake(&fake, status);
    check((char *[]){fake.url, NULL}, expected);
    stop_fake(&fake);
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

static void test_no_daemons(void)
{
    check((char *[]){NULL}, "no owner given by --admin reports that its last change is complete");
}

/* The report of one owner is sufficient, whatever the others report. */
static void test_one_of_several(void)
{
    struct fake fake;
    struct refusing_port port;

    refusing_port_open(&port);
    start_fake(&fake, STATUS(4, "\"id\":7,\"owned_here\":true,\"settled\":true"));
    check((char *[]){port.url, fake.url, NULL}, NULL);
    stop_fake(&fake);
    refusing_port_close(&port);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/settled-check/words", test_words);
    g_test_add_func("/settled-check/no-daemons", test_no_daemons);
    g_test_add_func("/settled-check/one-of-several", test_one_of_several);
    return g_test_run();
}
