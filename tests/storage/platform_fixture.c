/* A platform stand-in in the test's process. */
#include "platform_fixture.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

void platform_fixture_start(struct platform_fixture *fixture,
                            const struct platform_standin_options *options)
{
    g_autoptr(GError) error = NULL;

    fixture->standin = platform_standin_start(options, &error);
    g_assert_no_error(error);
    fixture->url = g_strdup_printf("http://127.0.0.1:%u", platform_standin_port(fixture->standin));
    fixture->settings = platform_settings_default();
    fixture->settings.table_url = fixture->url;
    fixture->settings.object_url = fixture->url;
    fixture->settings.access_key = "test";
    fixture->settings.secret_key = "test";
    fixture->settings.connect_timeout_ms = FIXTURE_CALL_TIMEOUT_MS;
    fixture->settings.call_timeout_ms = FIXTURE_CALL_TIMEOUT_MS;
}

void platform_fixture_start_plain(struct platform_fixture *fixture)
{
    const struct platform_standin_options options = {.host = "127.0.0.1"};

    platform_fixture_start(fixture, &options);
}

void platform_fixture_stop(struct platform_fixture *fixture)
{
    platform_standin_stop(fixture->standin);
    g_free(fixture->url);
}

void platform_fixture_fault(struct platform_fixture *fixture, enum platform_fault_kind kind,
                            enum platform_service service, uint32_t after, uint32_t count)
{
    const struct platform_fault fault = {
        .kind = kind, .service = service, .after = after, .count = count};

    platform_standin_add_fault(fixture->standin, &fault);
}

void refusing_port_open(struct refusing_port *port)
{
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof(address);

    port->socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(port->socket, >=, 0);
    g_assert_cmpint(bind(port->socket, (struct sockaddr *)&address, length), ==, 0);
    g_assert_cmpint(getsockname(port->socket, (struct sockaddr *)&address, &length), ==, 0);
    port->url = g_strdup_printf("http://127.0.0.1:%u", ntohs(address.sin_port));
}

void refusing_port_close(struct refusing_port *port)
{
    close(port->socket);
    g_free(port->url);
}
