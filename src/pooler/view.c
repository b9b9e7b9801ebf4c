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
        for (size_t owner = 0; owner < view->groups[i].owners_count; owner++) {
            g_free(view->groups[i].owners[owner].text);
        }
        g_free(view->groups[i].owners);
    }
    g_free(view->groups);
    g_clear_pointer(&view->configuration, configuration_unref);
    g_free(view);
}
