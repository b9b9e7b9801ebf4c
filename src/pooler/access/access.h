/**
 * @file
 * @brief Authentication of sessions by key, and authorization of each statement. Call the functions
 * from the thread of the session's worker only.
 *
 * A client names its key when the session starts. The configuration maps keys to tenants. The key
 * is looked up again for each statement immediately before the statement is sent, so that no
 * statement runs with a key that was revoked while the statement was queued or was being forwarded
 * by another pooler. The key is a secret: it must not appear in a log, metric or answer.
 */
#ifndef SW_POOLER_ACCESS_ACCESS_H
#define SW_POOLER_ACCESS_ACCESS_H

#include <stdbool.h>
#include <stdint.h>

struct server;
struct session;

/** @brief Result of an access check. */
typedef enum access_verdict {
    ACCESS_GRANTED,
    ACCESS_UNKNOWN_KEY, /* no tenant has the key, or not the tenant of the open transaction */
    ACCESS_UNPROVEN,    /* the key may have been revoked: the proof (proof.h) has expired */
} access_verdict_t;

/** @return the name of the verdict, for logs. */
const char *access_verdict_name(access_verdict_t verdict);

/** @brief Looks up the session's key and stores its tenant in the session. */
access_verdict_t access_check(struct session *session);

/** @return the version of the configuration in force; 0: there is none yet. */
uint64_t access_configuration(const struct session *session);

/** @brief Rejects the session's statement; its transaction, if any, is rolled back. */
void access_refuse(struct session *session, access_verdict_t verdict);

/** @brief Repeats the access check immediately before a statement is sent, and checks that the
 * connection belongs to the session's tenant and group. A mismatch is a bug of this program: it is
 * logged, and the statement is not sent.
 *  @return ACCESS_UNKNOWN_KEY after a mismatch. */
access_verdict_t access_check_at(struct session *session, struct server *server);

/** @return the interned tenant name that databases receive for routes that need no key, and for
 *  connections that the pooler opens for its own requests. */
const char *access_public_tenant(void);

/** @return a short tag that stands for a key in logs: a salted hash with a salt of this process, so
 *  that it neither reveals the key nor compares between processes. Free with g_free(). */
char *access_key_tag(const char *key);

#endif
