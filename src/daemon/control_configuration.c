/* Drives core/config_currency on the control thread; see the header. */
#define G_LOG_DOMAIN "configuration"
#include <string.h>

#include "backend/clock.h"
#include "daemon/budget_plan.h"
#include "core/error.h"
#include "daemon/configuration_content.h"
#include "daemon/control_configuration_internal.h"

/* Interval at which the members' configurations are checked. */
#define STRAGGLER_CHECK_INTERVAL_MS 1000

void configuration_record(struct control_configuration *self, const char *kind, const char *text)
{
    struct journal_entry entry = {.database = -1};
    g_strlcpy(entry.kind, kind, sizeof(entry.kind));
    g_strlcpy(entry.text, text, sizeof(entry.text));
    journal_add(self->control->journal, &entry);
}

/* Name of a source in the journal. */
static const char *name_of(const struct fetch_request *request)
{
    switch (request->source) {
    case FETCH_SOURCE_PEER:
        return request->address;
    case FETCH_SOURCE_PUBLISHER:
        return "the publisher";
    default:
        return "the store";
    }
}

bool configuration_is_from_store(const struct fetch_request *request)
{
    return request->source == FETCH_SOURCE_HEAD || request->source == FETCH_SOURCE_STORE;
}

void configuration_log_store(struct control_configuration *self, const struct fetch_result *result)
{
    bool failed =
        result->outcome == FETCH_OUTCOME_FAILED || result->outcome == FETCH_OUTCOME_REFUSED;
    const char *failure = failed ? result->text : "";
    if (strcmp(failure, self->failure) == 0) {
        return;
    }
    g_strlcpy(self->failure, failure, sizeof(self->failure));
    if (failed) {
        g_warning("Reading the configuration from the store failed: %s.", failure);
    } else {
        g_message("Reading the configuration from the store succeeds again.");
    }
}

/* Actions. */

void configuration_submit_fetch(struct control_configuration *self, enum fetch_source source,
                                struct configuration_mark wanted, const char *address)
{
    struct fetch_request request = {.source = source, .wanted = wanted};
    if (address != NULL) {
        g_strlcpy(request.address, address, sizeof(request.address));
    }
    configuration_fetcher_submit(self->fetcher, &request);
}

static bool is_unparsable(const struct control_configuration *self, struct configuration_mark mark)
{
    return mark.version != 0 && mark.version == self->unparsable.version &&
           mark.hash == self->unparsable.hash;
}

/* Fetches from a member or, if none is given, from the store. Fails at once if the version is known
 * not to parse, or the member is unknown. */
static void fetch(struct control_configuration *self, const struct currency_action *action,
                  GArray *actions)
{
    struct member member;
    bool from_store = action->kind == CURRENCY_ACTION_FETCH_STORE;
    bool known = from_store || membership_find(self->control->membership, action->peer, &member);
    if (!known || is_unparsable(self, action->mark)) {
        currency_fetch_failed(self->currency, backend_now(), actions);
        return;
    }
    if (from_store) {
        configuration_submit_fetch(self, FETCH_SOURCE_STORE, action->mark, NULL);
        return;
    }
    char address[ADDRESS_TEXT_SIZE];
    control_members_format(&member, address);
    configuration_submit_fetch(self, FETCH_SOURCE_PEER, action->mark, address);
}

/* A configuration that lacks this daemon's zone is put in force nevertheless; the daemon keeps the
 * zone number with which it joined. */
static void check_zone(struct control_configuration *self,
                       const struct configuration *configuration)
{
    struct daemon *daemon = self->control->daemon;
    const struct zone_configuration *zone =
        configuration_find_zone_by_name(configuration, daemon->settings.daemon.zone);
    if (zone == NULL || zone->id != atomic_load(&daemon->zone)) {
        g_warning("Zone \"%s\" is missing from the configuration or has another id: restart "
                  "this daemon with a configured zone.",
                  daemon->settings.daemon.zone);
    }
}

/* An accepted configuration is put in force even if a database has too few connections for its
 * owners; that database is not served. */
static void check_budgets(struct control_configuration *self,
                          const struct configuration *configuration)
{
    g_autoptr(GError) error = NULL;
    uint32_t owners = self->control->daemon->settings.ownership.owners_per_group;
    if (!budget_plan_check(configuration, owners, &error)) {
        g_critical("A database is not served for lack of connections: %s.", error->message);
    }
}

static void record_applied(struct control_configuration *self, const struct fetch_result *origin)
{
    struct configuration *content = published_configuration_content(origin->published);
    g_autofree char *text = g_strdup_printf(
        "version=%" G_GUINT64_FORMAT " hash=%.16s %s %s",
        published_configuration_mark(origin->published).version, configuration_hash(content),
        origin->difference ? "as a difference from" : "from", name_of(&origin->request));
    configuration_record(self, "configuration_applied", text);
}

/* Puts the fetched configuration in force. */
static void apply(struct control_configuration *self)
{
    struct control *control = self->control;
    const struct fetch_result *origin = self->origin;
    g_assert(origin != NULL);
    struct configuration *content = published_configuration_content(origin->published);
    struct configuration_mark mark = published_configuration_mark(origin->published);
    check_zone(self, content);
    check_budgets(self, content);
    daemon_set_configuration(control->daemon, content);
    control_groups_switch_runtimes(control);
    if (control_is_settled(control)) {
        control_ownership_set_groups(control);
    }
    configuration_share_set(control->daemon->configuration_share, origin->published);
    record_applied(self, origin);
    membership_set_configuration(control->membership, mark, backend_now(), control->actions);
    control_members_perform(control);
}

static void set_serving(struct control_configuration *self, bool serving)
{
    char reason[CONFIGURATION_REASON_SIZE] = "";
    self->confirmed = self->confirmed || serving;
    if (serving) {
        g_snprintf(reason, sizeof(reason), "version=%" G_GUINT64_FORMAT,
                   currency_applied(self->currency).version);
        configuration_record(self, "configuration_serving", reason);
        return;
    }
    configuration_write_reason(self, reason);
    configuration_record(self, "configuration_stopped", reason);
}

/* Performs actions, including those that are appended while they run. */
static void perform(struct control_configuration *self, GArray *actions)
{
    for (guint i = 0; i < actions->len; i++) {
        struct currency_action action = g_array_index(actions, struct currency_action, i);
        switch (action.kind) {
        case CURRENCY_ACTION_FETCH_PEER:
        case CURRENCY_ACTION_FETCH_STORE:
            fetch(self, &action, actions);
            break;
        case CURRENCY_ACTION_READ_HEAD:
            configuration_submit_fetch(self, FETCH_SOURCE_HEAD, action.mark, NULL);
            break;
        case CURRENCY_ACTION_APPLY:
            apply(self);
            break;
        case CURRENCY_ACTION_SERVE:
            set_serving(self, true);
            break;
        case CURRENCY_ACTION_STOP:
            set_serving(self, false);
            break;
        }
    }
    configuration_publish_status(self);
}

/* Events. */

static void record_newest(struct control_configuration *self, struct configuration_mark mark,
                          const char *from)
{
    if (mark.version <= self->newest_recorded) {
        return;
    }
    self->newest_recorded = mark.version;
    g_autofree char *text =
        g_strdup_printf("version=%" G_GUINT64_FORMAT " hash=%016" G_GINT64_MODIFIER "x from %s",
                        mark.version, mark.hash, from);
    configuration_record(self, "configuration_heard", text);
}

void control_configuration_receive_mark(struct control *control, struct configuration_mark mark,
                                        uint64_t holder)
{
    struct control_configuration *self = control->configuration;
    if (self == NULL) {
        return;
    }
    g_autoptr(GArray) actions = g_array_new(FALSE, FALSE, sizeof(struct currency_action));
    record_newest(self, mark, "gossip");
    currency_announced(self->currency, mark, holder, backend_now(), actions);
    perform(self, actions);
}

/* The store has different content under the version in force. */
static bool contradicts(struct control_configuration *self, struct configuration_mark head)
{
    struct configuration_mark applied = currency_applied(self->currency);
    bool contradicted =
        head.version == applied.version && head.version != 0 && head.hash != applied.hash;
    if (contradicted && !self->contradicted) {
        g_autofree char *text = g_strdup_printf(
            "version=%" G_GUINT64_FORMAT " the store has different content under this version",
            head.version);
        configuration_record(self, "configuration_refused", text);
    }
    self->contradicted = contradicted;
    return contradicted;
}

/* Processes the head that the store reported. */
static void process_head(struct control_configuration *self, const struct fetch_result *result,
                         GArray *actions)
{
    time_ns now = backend_now();
    if (configuration_is_from_store(&result->request)) {
        configuration_log_store(self, result);
    }
    if (!result->head_known) {
        currency_head_failed(self->currency, now);
        return;
    }
    if (contradicts(self, result->head)) {
        return;
    }
    record_newest(self, result->head, "the store");
    /* If a newer version became known meanwhile, the answer is outdated and confirms nothing. */
    if (result->head.version >= currency_newest(self->currency).version) {
        membership_announce_configuration(self->control->membership, result->head);
        membership_record_store_reply(self->control->membership, result->requested_at);
    }
    currency_head_read(self->currency, result->head, now, actions);
}

static void record_refused(struct control_configuration *self, const struct fetch_result *result)
{
    g_autofree char *text =
        g_strdup_printf("version=%" G_GUINT64_FORMAT " from %s: %s", result->refused.version,
                        name_of(&result->request), result->text);
    configuration_record(self, "configuration_refused", text);
    if (result->unparsable) {
        self->unparsable = result->refused;
    }
}

/* Processes the content that a source returned. */
static void process_content(struct control_configuration *self, const struct fetch_result *result,
                            GArray *actions)
{
    time_ns now = backend_now();
    if (result->outcome == FETCH_OUTCOME_REFUSED) {
        record_refused(self, result);
    }
    if (result->outcome == FETCH_OUTCOME_FOUND) {
        struct configuration_mark mark = published_configuration_mark(result->published);
        record_newest(self, mark, name_of(&result->request));
        self->origin = result;
        currency_fetched(self->currency, mark, now, actions);
    } else if (result->request.source == FETCH_SOURCE_PEER ||
               result->request.source == FETCH_SOURCE_STORE) {
        currency_fetch_failed(self->currency, now, actions);
    }
}

static void process_result(struct control_configuration *self, const struct fetch_result *result)
{
    g_autoptr(GArray) actions = g_array_new(FALSE, FALSE, sizeof(struct currency_action));
    process_content(self, result, actions);
    perform(self, actions);
    self->origin = NULL;
    g_array_set_size(actions, 0);
    if (configuration_is_from_store(&result->request) || result->head_known) {
        process_head(self, result, actions);
        perform(self, actions);
    }
}

/* Time at which a majority of the daemons was last known to have the configuration in force here.
 */
static time_ns agreed_at(const struct control_configuration *self, time_ns peers_confirmed_at,
                         time_ns now)
{
    size_t reachable = 0;
    size_t known = 0;
    bool newest =
        currency_applied(self->currency).version != 0 &&
        currency_applied(self->currency).version == currency_newest(self->currency).version;
    if (!newest) {
        return 0;
    }
    membership_count_reachable(self->control->membership, now, UINT64_MAX, &reachable, &known);
    return known <= 1 ? now : peers_confirmed_at;
}

static void tick_currency(struct control_configuration *self, time_ns now)
{
    struct membership *membership = self->control->membership;
    struct currency_evidence evidence = {
        .synced = membership_synced(membership),
        .queries_store = membership_queries_store(membership),
        .store_confirmed_at = membership_store_confirmed_at(membership),
        .peers_confirmed_at = membership_peers_confirmed_at(membership, now),
    };
    g_autoptr(GArray) actions = g_array_new(FALSE, FALSE, sizeof(struct currency_action));
    currency_tick(self->currency, &evidence, now, actions);
    perform(self, actions);
    control_groups_settle(self->control, agreed_at(self, evidence.peers_confirmed_at, now), now);
    if (now >= self->next_straggler_check_at) {
        self->next_straggler_check_at =
            now + STRAGGLER_CHECK_INTERVAL_MS * NANOSECONDS_PER_MILLISECOND;
        configuration_find_stragglers(self);
    }
}

void control_configuration_process(struct control *control, struct fetch_result *result)
{
    struct control_configuration *self = control->configuration;
    if (self->joined || configuration_try_join(self, result)) {
        process_result(self, result);
        tick_currency(self, backend_now());
    }
    fetch_result_free(result);
}

void control_configuration_tick(struct control *control, time_ns now)
{
    struct control_configuration *self = control->configuration;
    if (self == NULL) {
        return;
    }
    if (!self->joined) {
        configuration_search(self, now);
    } else if (now >= currency_next_wakeup(self->currency)) {
        tick_currency(self, now);
    }
}

time_ns control_configuration_next_wakeup(struct control *control)
{
    const struct control_configuration *self = control->configuration;
    if (self == NULL) {
        return UINT64_MAX;
    }
    return self->joined ? currency_next_wakeup(self->currency) : self->next_search_at;
}

bool control_configuration_was_confirmed(struct control *control)
{
    return control->configuration == NULL || control->configuration->confirmed;
}

bool control_configuration_hand_over(struct control *control,
                                     const struct configuration_handover *handover)
{
    struct control_configuration *self = control->configuration;
    if (self == NULL) {
        return false;
    }
    struct fetch_request request = {
        .source = FETCH_SOURCE_PUBLISHER,
        .wanted = configuration_mark_of(handover->version, handover->hash),
        .base = configuration_mark_of(handover->version - 1, handover->base_hash),
        .content = g_bytes_ref(handover->content),
    };
    configuration_fetcher_submit(self->fetcher, &request);
    return true;
}

/* Start and stop. */

/* Called on the fetcher's threads. */
static void on_fetched(void *user, struct fetch_result *result)
{
    struct control_event event = {.kind = CONTROL_EVENT_CONFIGURATION, .fetched = result};
    control_post(user, &event);
}

/* URL of the object store without trailing slashes; that of the table service if none is set. */
static char *object_endpoint(const struct settings *settings)
{
    const char *own = settings->platform.object_endpoint;
    char *url = g_strdup(own[0] != '\0' ? own : settings->platform.table_endpoint);
    while (g_str_has_suffix(url, "/")) {
        url[strlen(url) - 1] = '\0';
    }
    return url;
}

static bool start_fetcher(struct control_configuration *self, GError **error)
{
    struct daemon *daemon = self->control->daemon;
    g_autofree char *access_key = NULL;
    g_autofree char *secret_key = NULL;
    if (!configuration_fetcher_read_keys(daemon->settings.platform.access_key_file, &access_key,
                                         &secret_key, error)) {
        return false;
    }
    g_autofree char *objects = object_endpoint(&daemon->settings);
    struct configuration_fetcher_options options = {
        .platform = platform_settings_default(),
        .peers = daemon->peers,
        .share = daemon->configuration_share,
        .done = on_fetched,
        .user = self->control,
    };
    options.platform.table_url = daemon->settings.platform.table_endpoint;
    options.platform.object_url = objects;
    options.platform.access_key = access_key;
    options.platform.secret_key = secret_key;
    self->fetcher = configuration_fetcher_new(&options);
    return true;
}

bool control_configuration_start(struct control *control, GError **error)
{
    const struct settings *settings = &control->daemon->settings;
    if (settings->configuration.file[0] != '\0') {
        return true;
    }
    struct control_configuration *self = g_new0(struct control_configuration, 1);
    struct currency_options options;
    currency_options_default(&options);
    options.bound = settings->configuration.currency_bound_ms * NANOSECONDS_PER_MILLISECOND;
    self->control = control;
    self->currency = currency_new(&options, backend_now());
    self->search_from = 1;
    pthread_mutex_init(&self->status_lock, NULL);
    control->configuration = self;
    configuration_publish_status(self);
    return start_fetcher(self, error);
}

void control_configuration_stop(struct control *control)
{
    struct control_configuration *self = control->configuration;
    if (self == NULL) {
        return;
    }
    if (self->fetcher != NULL) {
        configuration_fetcher_free(self->fetcher);
    }
    currency_free(self->currency);
    pthread_mutex_destroy(&self->status_lock);
    control->configuration = NULL;
    g_free(self);
}
