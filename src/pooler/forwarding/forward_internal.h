/**
 * @file
 * @brief Shared by the parts of forwarding: links to owners (forward.c), requests for tokens on
 * them (forward_token.c) and the choice of an owner (owner_choice.c).
 */
#ifndef SW_POOLER_FORWARD_INTERNAL_H
#define SW_POOLER_FORWARD_INTERNAL_H

#include "pooler/forwarding/forward.h"

#include "generated/messages.h"
#include "pooler/rate/home_health.h"
#include "pooler/shared/peer.h"

/** @brief A request for a token. It exists until it is answered or the link is lost, even if it was
 * abandoned before. Belongs to the link's worker. */
struct token_request {
    link_t *link;
    uint64_t channel;
    struct session *session; /* session that waits for the token; NULL: abandoned */
    unsigned home;           /* index of the link's pooler in the tenant's list of homes */
    time_ns requested_at;
};

struct link {
    struct worker *worker;
    char *text;
    const char *zone; /* interned; NULL: not known */
    struct sockaddr_in address;
    struct peer *peer; /* NULL while there is no connection */
    struct peer_callbacks callbacks;
    GHashTable *channels;       /* number -> session */
    GHashTable *token_requests; /* number -> token_request_t, owned */
    home_health_t home_health;  /* of the link's pooler as a home of rate limits */
    uint64_t last_channel;
    uint32_t running;       /* statements that were sent and not answered */
    time_ns awaiting_since; /* last message from the owner, or first request after an idle time */
    time_ns pinged_at;
    time_ns avoid_until;
    uint32_t losses_in_row; /* consecutive losses of the connection */
    bool unconfirmed; /* no message received since it was lost, or ever: no statement is sent on it
                       */
};

/** @brief Reconnects a lost link once avoid_until has passed, and sends a ping: a frozen process
 * accepts connections too, so only an answer shows that the owner works. */
void link_reconnect(link_t *link, time_ns now);

/** @brief Connects the link unless it is connected. @return false if no connection could be
 * started. */
bool link_connect(link_t *link);

/** @brief Sends a message and counts its bytes. The link must be connected. */
void link_send(const link_t *link, const struct forward_ask *ask);

/* forward_token.c */

/** @brief A message was received on the link: updates the health state of the home. */
void link_note_contact(link_t *link);
/** @brief Handles the answer to a request for a token. @return false if the answer belongs to no
 * such request. */
bool link_handle_token_answer(link_t *link, const struct forward_answer *answer, time_ns now);
/** @brief Fails all token requests of a lost link. */
void link_fail_token_requests(link_t *link);

/** @return the owner that the session's statement is sent to; NULL if none can be reached now.
 * Starts to connect unconfirmed links that could be used next. */
link_t *owner_choose(const struct session *session, time_ns now);

/** @return the owner that is preferred for the session's statement over this pooler, which is an
 * owner itself; NULL if there is none. */
link_t *owner_choose_elsewhere(const struct session *session, time_ns now);

#endif
