/* The published view; see the header. */
#include "pooler/view.h"

#include <glib.h>
#include <string.h>

const struct pooled_group *view_find_group(const struct view *view, const char *service)
{
    for (size_t i = 0; i < view->groups_count; i++) {
        if (strcmp(view->groups[i].shared->service, service) == 0) {
            return &view->groups[i];
        }
    }
    return NULL;
}

void view_free(struct view *view)
{
    if (view == NULL) {
        return;
    }
    for (size_t i = 0; i < view->groups_count; i++) {
        g_free(view->groups[i].members);
    }
    g_free(view->groups);
    g_clear_pointer(&view->configuration, configuration_unref);
    g_free(view);
}
