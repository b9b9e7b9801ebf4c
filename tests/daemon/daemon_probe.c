/* Access to a daemon's internal state; see the header. */
#include "daemon_probe.h"

#include "daemon/transaction.h"

uint32_t daemon_open_transactions(const struct daemon *daemon)
{
    return transaction_table_count(daemon->transactions);
}
