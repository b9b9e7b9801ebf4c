/**
 * @file
 * @brief Whose a session is, and whether a statement of it may go to a database now. All functions
 * belong to the session's worker.
 *
 * A session is known by the key that its client named at the start. Whose key that is stands in the
 * configuration, and is looked up anew for each statement, right before its bytes go out, so that
 * nothing runs on a key that was taken away meanwhile, in the queue or on the way from another
 * pooler. The key itself is a secret: it goes into no log, metric or answer.
 */
#ifndef SW_POOLER_ACCESS_ACCESS_H
#define SW_POOLER_ACCESS_ACCESS_H

#include <stdbool.h>
#include <stdint.h>

struct server;
struct session;

/** @brief Whether a session may ask a database now. */
typedef enum access_verdict {
    ACCESS_GRANTED,
    ACCESS_UNKNOWN_KEY, /* nobody holds it, or another tenant than the open transaction's */
    ACCESS_UNPROVEN,    /* it may have been taken away: there is no proof that is young enough */
} access_verdict_t;

/** @return the verdict's name for logs. */
const char *access_verdict_name(access_verdict_t verdict);

/** @brief Looks the session's key up, and notes whose it is. */
access_verdict_t access_check(struct session *session);

/** @return the version of the configuration in force; 0: none is known. */
uint64_t access_configuration(const struct session *session);

/** @brief The session's statement is not run; its transaction, if any, is rolled back. */
void access_refuse(struct session *session, access_verdict_t verdict);

/** @brief The check right before a statement's bytes go out. The connection must be the tenant's
 * and the group's: if it is not, that is a fault of this program, and the connection is closed. */
access_verdict_t access_check_at(struct session *session, struct server *server);

/** @return the interned word that names nobody in particular to databases: on routes that need no
 *  key, and on connections for questions of our own. */
const char *access_public_tenant(void);

/** @return a short name of the session's key for logs, which tells nothing of the key and differs
 *  from process to process. Freed by g_free. */
char *access_key_tag(const char *key);

#endif
