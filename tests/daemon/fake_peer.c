/* A simulated peer daemon; see the header. */
#include "fake_peer.h"

#include <string.h>
#include <unistd.h>

#include "daemon/configuration_content.h"
#include "generated/errors.h"
#include "wire/address.h"
#include "wire/connection.h"
#include "wire/datagram.h"
#include "wire/peer_server.h"

#define ANSWER_TIMEOUT_NS (100 * NANOSECONDS_PER_MILLISECOND)
#define ATTEMPTS_MAX      100

struct fake_peer {
    struct peer_server *server;
    int socket; /* UDP, same port as `server` */
    struct sockaddr_in address;
    uint32_t sequence;
    pthread_mutex_t lock; /* guards all below */
    const struct fake_answer *whole;
    const struct fake_answer *difference;
    unsigned questions;
};

static void fill_reply(const struct fake_answer *answer, struct configuration_reply *reply)
{
    if (answer == NULL || answer->version == 0) {
        return;
    }
    g_autoptr(GBytes) packed = answer->undecodable ? g_bytes_ref(answer->content)
                                                   : configuration_compress(answer->content);
    gsize length = 0;
    const uint8_t *bytes = g_bytes_get_data(packed, &length);
    reply->version = answer->version;
    reply->hash = g_strdup(answer->hash);
    reply->base_version = answer->base_version;
    reply->keep_start = answer->keep_start;
    reply->keep_end = answer->keep_end;
    reply->content = g_memdup2(bytes, length);
    reply->content_length = length;
}

static void serve(const struct message *request, struct message *reply, void *user)
{
    struct fake_peer *peer = user;
    if (request->kind != MESSAGE_KIND_CONFIGURATION_REQUEST) {
        return;
    }
    message_init(reply, MESSAGE_KIND_CONFIGURATION_REPLY);
    pthread_mutex_lock(&peer->lock);
    bool whole = request->configuration_request.have_version == 0;
    fill_reply(whole ? peer->whole : peer->difference, &reply->configuration_reply);
    peer->questions++;
    pthread_mutex_unlock(&peer->lock);
}

struct fake_peer *fake_peer_start(void)
{
    struct fake_peer *peer = g_new0(struct fake_peer, 1);
    struct peer_server_options options = {.handler = serve, .user = peer, .connections_max = 16};
    g_autoptr(GError) error = NULL;
    pthread_mutex_init(&peer->lock, NULL);
    peer->server = peer_server_start("127.0.0.1:0", &options, &error);
    g_assert_no_error(error);
    peer->socket = wire_datagram_open(peer_server_address(peer->server), &peer->address, &error);
    g_assert_no_error(error);
    return peer;
}

void fake_peer_stop(struct fake_peer *peer)
{
    peer_server_free(peer->server);
    close(peer->socket);
    pthread_mutex_destroy(&peer->lock);
    g_free(peer);
}

void fake_peer_set_answers(struct fake_peer *peer, const struct fake_answer *whole,
                           const struct fake_answer *difference)
{
    pthread_mutex_lock(&peer->lock);
    peer->whole = whole;
    peer->difference = difference;
    pthread_mutex_unlock(&peer->lock);
}

unsigned fake_peer_request_count(struct fake_peer *peer)
{
    pthread_mutex_lock(&peer->lock);
    unsigned questions = peer->questions;
    pthread_mutex_unlock(&peer->lock);
    return questions;
}

static void fill_ping(struct fake_peer *peer, struct message *message,
                      struct configuration_mark in_force, struct configuration_mark heard)
{
    message_init(message, MESSAGE_KIND_GOSSIP);
    struct gossip_message *gossip = &message->gossip;
    gossip->kind = GOSSIP_KIND_PING;
    gossip->deployment = MEMBERSHIP_DEPLOYMENT_FIXED;
    gossip->sequence = ++peer->sequence;
    gossip->sender.member = membership_id_of_name("fake");
    gossip->sender.start = 1;
    gossip->sender.state = MEMBER_STATE_ALIVE;
    gossip->sender.address = ntohl(peer->address.sin_addr.s_addr);
    gossip->sender.port = ntohs(peer->address.sin_port);
    gossip->sender.zone = 1;
    gossip->sender.configuration_version = in_force.version;
    gossip->configuration_hash = in_force.hash;
    gossip->heard_version = heard.version;
    gossip->heard_hash = heard.hash;
}

/* Waits briefly for the answer to the last ping; other datagrams are dropped. */
static bool was_answered(struct fake_peer *peer)
{
    time_ns deadline = wire_clock_now() + ANSWER_TIMEOUT_NS;
    bool answered = false;
    struct message message;
    struct sockaddr_in from;
    while (!answered &&
           wire_datagram_receive(peer->socket, &message, &from, NULL, deadline, NULL)) {
        answered = message.kind == MESSAGE_KIND_GOSSIP && message.gossip.kind == GOSSIP_KIND_ACK &&
                   message.gossip.sequence == peer->sequence;
        message_clear(&message);
    }
    return answered;
}

void fake_peer_gossip(struct fake_peer *peer, const struct daemon *daemon,
                      struct configuration_mark in_force, struct configuration_mark heard)
{
    struct sockaddr_in to;
    parse_address(peer_server_address(daemon->peer_server), &to);
    for (int i = 0; i < ATTEMPTS_MAX; i++) {
        struct message message;
        fill_ping(peer, &message, in_force, heard);
        g_autoptr(GError) error = NULL;
        bool sent = wire_datagram_send(peer->socket, &to, &message, NULL, &error);
        g_assert_no_error(error);
        g_assert_true(sent);
        message_clear(&message);
        if (was_answered(peer)) {
            return;
        }
    }
    g_error("The daemon does not answer gossip.");
}
