/* The configuration in force, as served to other daemons; see the header. */
#include "daemon/configuration_share.h"

#include <pthread.h>

#include "daemon/configuration_content.h"
#include "wire/connection.h"

/* Bytes of a reply besides its content. */
#define REPLY_OVERHEAD 256

struct published_configuration {
    struct configuration_mark mark;
    struct configuration *configuration; /* one reference */
    struct configuration_mark base;      /* base of `difference`; version 0: there is none */
    struct configuration_difference difference;
    pthread_mutex_t lock;
    GBytes *complete; /* compressed content; created on first use, under the lock */
};

struct configuration_share {
    pthread_mutex_t lock;
    struct published_configuration *in_force; /* under the lock; one reference, or NULL */
};

struct published_configuration *
published_configuration_new(uint64_t version, struct configuration *configuration,
                            struct configuration_mark base,
                            struct configuration_difference *difference)
{
    struct published_configuration *published =
        g_atomic_rc_box_new0(struct published_configuration);
    published->mark = configuration_mark_of(version, configuration_hash(configuration));
    published->configuration = configuration_ref(configuration);
    if (difference != NULL) {
        published->base = base;
        published->difference = *difference;
        *difference = (struct configuration_difference){0};
    }
    pthread_mutex_init(&published->lock, NULL);
    return published;
}

struct published_configuration *
published_configuration_ref(struct published_configuration *published)
{
    return g_atomic_rc_box_acquire(published);
}

static void clear_published(gpointer data)
{
    struct published_configuration *published = data;
    configuration_unref(published->configuration);
    configuration_difference_clear(&published->difference);
    g_clear_pointer(&published->complete, g_bytes_unref);
    pthread_mutex_destroy(&published->lock);
}

void published_configuration_unref(struct published_configuration *published)
{
    if (published != NULL) {
        g_atomic_rc_box_release_full(published, clear_published);
    }
}

struct configuration_mark
published_configuration_mark(const struct published_configuration *published)
{
    return published->mark;
}

struct configuration *
published_configuration_content(const struct published_configuration *published)
{
    return published->configuration;
}

struct configuration_share *configuration_share_new(void)
{
    struct configuration_share *share = g_new0(struct configuration_share, 1);
    pthread_mutex_init(&share->lock, NULL);
    return share;
}

void configuration_share_free(struct configuration_share *share)
{
    published_configuration_unref(share->in_force);
    pthread_mutex_destroy(&share->lock);
    g_free(share);
}

void configuration_share_set(struct configuration_share *share,
                             struct published_configuration *published)
{
    pthread_mutex_lock(&share->lock);
    struct published_configuration *previous = share->in_force;
    share->in_force = published_configuration_ref(published);
    pthread_mutex_unlock(&share->lock);
    published_configuration_unref(previous);
}

struct published_configuration *configuration_share_take(struct configuration_share *share)
{
    pthread_mutex_lock(&share->lock);
    struct published_configuration *published =
        share->in_force != NULL ? published_configuration_ref(share->in_force) : NULL;
    pthread_mutex_unlock(&share->lock);
    return published;
}

/* The complete content, compressed. Owned by the published configuration. */
static GBytes *complete_content(struct published_configuration *published)
{
    pthread_mutex_lock(&published->lock);
    if (published->complete == NULL) {
        published->complete =
            configuration_compress(configuration_canonical(published->configuration));
    }
    pthread_mutex_unlock(&published->lock);
    return published->complete;
}

static bool has_difference_for(const struct published_configuration *published,
                               const struct configuration_request *request)
{
    return published->base.version != 0 && request->have_version == published->base.version &&
           request->have_hash == published->base.hash;
}

static void fill_reply(const struct published_configuration *published, GBytes *content,
                       struct configuration_reply *reply)
{
    gsize length = 0;
    const uint8_t *bytes = g_bytes_get_data(content, &length);
    if (length > WIRE_FRAME_MAX - REPLY_OVERHEAD) {
        return;
    }
    reply->version = published->mark.version;
    reply->hash = g_strdup(configuration_hash(published->configuration));
    reply->content = g_memdup2(bytes, length);
    reply->content_length = length;
}

void configuration_share_answer(struct configuration_share *share,
                                const struct configuration_request *request,
                                struct configuration_reply *reply)
{
    struct published_configuration *published = configuration_share_take(share);
    if (published == NULL) {
        return;
    }
    if (published->mark.version < request->version) {
        published_configuration_unref(published);
        return;
    }
    if (has_difference_for(published, request)) {
        fill_reply(published, published->difference.between, reply);
        reply->base_version = published->base.version;
        reply->keep_start = published->difference.keep_start;
        reply->keep_end = published->difference.keep_end;
    } else {
        fill_reply(published, complete_content(published), reply);
    }
    published_configuration_unref(published);
}
