/* Waits that can end early. See interrupt.h. */
#include "interrupt.h"

#include <glib.h>
#include <poll.h>

/* The interval at which a long sleep checks for an interrupt. */
#define SLEEP_SLICE_US 20000

bool interrupt_hung_up(const struct interrupt *interrupt)
{
    if (interrupt->socket < 0) {
        return false;
    }
    struct pollfd watch = {.fd = interrupt->socket, .events = POLLRDHUP};
    return poll(&watch, 1, 0) > 0;
}

bool interrupt_pending(const struct interrupt *interrupt)
{
    return atomic_load(&interrupt->cancelled) || atomic_load(&interrupt->stopping) ||
           interrupt_hung_up(interrupt);
}

void interrupt_sleep(const struct interrupt *interrupt, int64_t microseconds)
{
    int64_t end = g_get_monotonic_time() + microseconds;
    while (microseconds > 0 && !interrupt_pending(interrupt)) {
        g_usleep((gulong)MIN(microseconds, SLEEP_SLICE_US));
        microseconds = end - g_get_monotonic_time();
    }
}
