/* The causes that end a wait early: a cancel request, the client's disconnect, or the stop of the
 * program. */
#ifndef STANDIN_DATABASE_INTERRUPT_H
#define STANDIN_DATABASE_INTERRUPT_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/* One per session. Its thread waits; other threads set the flags. */
struct interrupt {
    atomic_bool cancelled;
    atomic_bool stopping;
    int socket; /* the client's socket, watched for its disconnect; -1 if none */
};

/* True if the wait must end now. */
bool interrupt_pending(const struct interrupt *interrupt);

/* True if the client has closed its end. */
bool interrupt_hung_up(const struct interrupt *interrupt);

/* Sleeps, at most `microseconds`; ends early if interrupted. */
void interrupt_sleep(const struct interrupt *interrupt, int64_t microseconds);

#endif
