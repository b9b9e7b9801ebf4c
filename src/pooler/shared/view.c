/* Reference counts of the published view; see the header. */
#include "pooler/shared/view.h"

#include <glib.h>

struct pooled_group *
pooled_group_new(void)
{
    return g_rc_box_new0(struct pooled_group);
}

struct pooled_group *
pooled_group_ref(struct pooled_group *group)
{
    return g_rc_box_acquire(group);
}

static void
clear_group(gpointer data)
{
    struct pooled_group *group = data;
    for (size_t i = 0; i < group->owners_count; i++) {
        g_free(group->owners[i].text);
    }
    g_free(group->owners);
    g_free(group->members);
}

void
pooled_group_unref(struct pooled_group *group)
{
    g_rc_box_release_full(group, clear_group);
}

void
view_free(struct view *view)
{
    if (view == NULL) {
        return;
    }
    for (size_t i = 0; i < view->groups_count; i++) {
        pooled_group_unref(view->groups[i]);
    }
    g_free(view->groups);
    g_clear_pointer(&view->roster, roster_unref);
    g_clear_pointer(&view->configuration, configuration_unref);
    g_free(view);
}
