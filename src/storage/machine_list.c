/* The platform's list of machines. */
#include "storage/machine_list.h"

#include <string.h>

#define MACHINE_PARTITION "machines"
#define ATTRIBUTE_ZONE    "zone"
#define ATTRIBUTE_ADDRESS "address"
#define ATTRIBUTE_STATE   "state"
#define STATE_LIVE        "live"
#define STATE_LEAVING     "leaving"

static void machine_free(gpointer data)
{
    struct machine *machine = data;

    g_free(machine->id);
    g_free(machine->zone);
    g_free(machine->address);
    g_free(machine);
}

GPtrArray *machine_list_new(void)
{
    return g_ptr_array_new_with_free_func(machine_free);
}

static void add_machine(const struct table_item *item, GPtrArray *machines)
{
    const char *id = table_item_get_text(item, TABLE_ITEM_SORT);
    const char *zone = table_item_get_text(item, ATTRIBUTE_ZONE);
    const char *address = table_item_get_text(item, ATTRIBUTE_ADDRESS);
    const char *state = table_item_get_text(item, ATTRIBUTE_STATE);

    if (id == NULL || zone == NULL || address == NULL || state == NULL) {
        return;
    }
    struct machine *machine = g_new0(struct machine, 1);
    machine->id = g_strdup(id);
    machine->zone = g_strdup(zone);
    machine->address = g_strdup(address);
    machine->leaving = strcmp(state, STATE_LEAVING) == 0;
    g_ptr_array_add(machines, machine);
}

/* Reads all pages into `items`. */
static enum platform_result read_pages(struct table_client *client, const char *table,
                                       GPtrArray *items, GError **error)
{
    struct table_query query = {.table = table, .partition = MACHINE_PARTITION};
    bool more = true;

    while (more) {
        guint before = items->len;
        enum platform_result result = table_client_query(client, &query, items, &more, error);
        if (result != PLATFORM_RESULT_OK) {
            return result;
        }
        if (items->len == before) {
            break;
        }
        query.start_after =
            table_item_get_text(g_ptr_array_index(items, items->len - 1), TABLE_ITEM_SORT);
    }
    return PLATFORM_RESULT_OK;
}

enum platform_result machine_list_read(struct table_client *client, const char *table,
                                       GPtrArray *machines, GError **error)
{
    g_autoptr(GPtrArray) items = g_ptr_array_new_with_free_func((GDestroyNotify)table_item_free);
    enum platform_result result = read_pages(client, table, items, error);

    if (result != PLATFORM_RESULT_OK) {
        return result;
    }
    for (guint i = 0; i < items->len; i++) {
        add_machine(g_ptr_array_index(items, i), machines);
    }
    return PLATFORM_RESULT_OK;
}

enum platform_result machine_list_write(struct table_client *client, const char *table,
                                        const struct machine *machine, GError **error)
{
    struct table_item *item = table_item_new(MACHINE_PARTITION, machine->id);
    struct table_write write = {.table = table, .item = item};

    table_item_set_text(item, ATTRIBUTE_ZONE, machine->zone);
    table_item_set_text(item, ATTRIBUTE_ADDRESS, machine->address);
    table_item_set_text(item, ATTRIBUTE_STATE, machine->leaving ? STATE_LEAVING : STATE_LIVE);
    enum platform_result result = table_client_put(client, &write, error);
    table_item_free(item);
    return result;
}

enum platform_result machine_list_remove(struct table_client *client, const char *table,
                                         const char *id, GError **error)
{
    return table_client_delete(client, table, MACHINE_PARTITION, id, error);
}
