/* The published view; see the header. */
#include "pooler/view.h"

#include <glib.h>

void
view_free(struct view *view)
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
