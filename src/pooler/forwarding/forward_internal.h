/**
 * @file
 * @brief Shared by the parts of forwarding: links to owners (forward.c) and the choice of one
 * (owner_choice.c).
 */
#ifndef SW_POOLER_FORWARD_INTERNAL_H
#define SW_POOLER_FORWARD_INTERNAL_H

#include "pooler/forwarding/forward.h"

#include "generated/messages.h"
#include "pooler/rate/home_health.h"
#include "pooler/shared/peer.h"

/** @brief A question for a token. It lasts until it is answered or the link is lost, also if it is
 * abandoned before. Belongs to the link's worker. */
struct token_question {
    link_t *link;
    uint64_t channel;
    struct session *session; /* that waits for the answer; NULL: abandoned */
    unsigned home;           /* its place among the homes of the session's tenant */
    time_ns asked_at;
};

struct link {
    struct worker *worker;
    char *text;
    const char *zone; /* interned; NULL: not known */
    struct sockaddr_in address;
    struct peer *peer; /* NULL while there is no connection */
    struct peer_callbacks callbacks;
    GHashTable *channels;  /* number -> session */
    GHashTable *questions; /* number -> token_question_t, owned */
    home_health_t belief;  /* of the pooler there, as a home of limits */
    uint64_t last_channel;
    uint32_t running;    /* statements without an answer */
    time_ns quiet_since; /* the owner was last heard, or first asked after a rest */
    time_ns pinged_at;
    time_ns avoid_until;
    uint32_t losses; /* in a row */
    bool doubted;    /* not heard since it was lost, or ever: it gets no statement before it gives a
                        sign */
};

/** @brief Connects to a lost owner again, if it is time to, and asks it for a sign: it may be
 * frozen, and take connections all the same. */
void link_try_again(link_t *link, time_ns now);

/** @return true if there is a connection, made if need be. */
bool link_connect(link_t *link);

/** @brief Sends a message and counts its bytes. The link must be connected. */
void link_send(const link_t *link, const struct forward_ask *ask);

/* forward_token.c */

/** @brief Something came from the pooler at the other end. */
void link_note_heard(link_t *link);
/** @return true if the answer was one to a question for a token. */
bool link_take_token(link_t *link, const struct forward_answer *answer, time_ns now);
/** @brief The link is lost, and its questions with it. */
void link_lose_tokens(link_t *link);

/** @return the owner that the session's statement goes to; NULL if none can be reached now. Opens
 *  links to those that may be reached soon. */
link_t *owner_choose(const struct session *session, time_ns now);

/** @return the owner that serves the session's statement better than this pooler, itself an owner;
 *  NULL if none does. */
link_t *owner_choose_elsewhere(const struct session *session, time_ns now);

#endif
