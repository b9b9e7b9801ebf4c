#include "frontend/metrics.h"

#include <math.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <string.h>

enum metric_type {
    METRIC_TYPE_COUNTER,
    METRIC_TYPE_GAUGE,
    METRIC_TYPE_HISTOGRAM,
};

struct metric_counter {
    _Atomic uint64_t value;
};

struct metric_gauge {
    _Atomic int64_t value;
    double (*read)(void *user); /* NULL: the value above */
    void *user;
};

struct metric_histogram {
    size_t bound_count;
    double bounds[METRIC_BUCKETS_MAX];
    _Atomic uint64_t buckets[METRIC_BUCKETS_MAX + 1]; /* not cumulative; the last is +Inf */
    _Atomic uint64_t sum_bits;                        /* of a double */
};

/* One metric of a family. */
struct metric_member {
    char *labels; /* as rendered between the braces, "" if none */
    union {
        struct metric_counter counter;
        struct metric_gauge gauge;
        struct metric_histogram histogram;
    };
};

/* All metrics of one name. */
struct metric_family {
    char *name;
    char *help;
    enum metric_type type;
    GPtrArray *members; /* of struct metric_member */
};

struct metrics {
    pthread_mutex_t mutex;                     /* guards the lists, not the values */
    GPtrArray *families;                       /* of struct metric_family */
    void (*collect)(GString *out, void *user); /* or NULL; fixed before the first rendering */
    void *collect_user;
};

static void member_free(gpointer data)
{
    struct metric_member *member = data;
    g_free(member->labels);
    g_free(member);
}

static void family_free(gpointer data)
{
    struct metric_family *family = data;
    g_free(family->name);
    g_free(family->help);
    g_ptr_array_unref(family->members);
    g_free(family);
}

struct metrics *metrics_new(void)
{
    struct metrics *metrics = g_new0(struct metrics, 1);
    pthread_mutex_init(&metrics->mutex, NULL);
    metrics->families = g_ptr_array_new_with_free_func(family_free);
    return metrics;
}

void metrics_free(struct metrics *metrics)
{
    if (metrics == NULL) {
        return;
    }
    g_ptr_array_unref(metrics->families);
    pthread_mutex_destroy(&metrics->mutex);
    g_free(metrics);
}

/* True for a valid Prometheus name; only names of metrics may contain a colon. */
static bool is_metric_name(const char *name, bool colon)
{
    if (!g_ascii_isalpha(name[0]) && name[0] != '_') {
        return false;
    }
    for (const char *next = name; *next != '\0'; next++) {
        if (!g_ascii_isalnum(*next) && *next != '_' && !(colon && *next == ':')) {
            return false;
        }
    }
    return true;
}

/* Appends text with backslash, newline and, in label values, the quote escaped. */
static void append_escaped(GString *out, const char *text, bool quote)
{
    for (const char *next = text; *next != '\0'; next++) {
        if (*next == '\n') {
            g_string_append(out, "\\n");
            continue;
        }
        if (*next == '\\' || (quote && *next == '"')) {
            g_string_append_c(out, '\\');
        }
        g_string_append_c(out, *next);
    }
}

static char *render_labels(const struct metric_label *labels)
{
    GString *out = g_string_new(NULL);
    for (size_t i = 0; labels != NULL && labels[i].name != NULL; i++) {
        g_assert(is_metric_name(labels[i].name, false));
        if (i > 0) {
            g_string_append_c(out, ',');
        }
        g_string_append_printf(out, "%s=\"", labels[i].name);
        append_escaped(out, labels[i].value, true);
        g_string_append_c(out, '"');
    }
    return g_string_free(out, FALSE);
}

/* Finds or adds the family of a name. Called with the mutex held. */
static struct metric_family *find_family(struct metrics *metrics, const char *name,
                                         const char *help, enum metric_type type)
{
    for (guint i = 0; i < metrics->families->len; i++) {
        struct metric_family *family = g_ptr_array_index(metrics->families, i);
        if (strcmp(family->name, name) == 0) {
            g_assert(family->type == type);
            g_assert_cmpstr(family->help, ==, help);
            return family;
        }
    }
    g_assert(is_metric_name(name, true));
    struct metric_family *family = g_new0(struct metric_family, 1);
    family->name = g_strdup(name);
    family->help = g_strdup(help);
    family->type = type;
    family->members = g_ptr_array_new_with_free_func(member_free);
    g_ptr_array_add(metrics->families, family);
    return family;
}

/* Finds or adds a metric; `created` is set to true if it is new. Called with the mutex held. */
static struct metric_member *find_member(struct metrics *metrics, const char *name,
                                         const char *help, enum metric_type type,
                                         const struct metric_label *labels, bool *created)
{
    struct metric_family *family = find_family(metrics, name, help, type);
    g_autofree char *text = render_labels(labels);
    for (guint i = 0; i < family->members->len; i++) {
        struct metric_member *member = g_ptr_array_index(family->members, i);
        if (strcmp(member->labels, text) == 0) {
            *created = false;
            return member;
        }
    }
    struct metric_member *member = g_new0(struct metric_member, 1);
    member->labels = g_steal_pointer(&text);
    g_ptr_array_add(family->members, member);
    *created = true;
    return member;
}

struct metric_counter *metrics_counter(struct metrics *metrics, const char *name, const char *help,
                                       const struct metric_label *labels)
{
    bool created = false;
    pthread_mutex_lock(&metrics->mutex);
    struct metric_member *member =
        find_member(metrics, name, help, METRIC_TYPE_COUNTER, labels, &created);
    pthread_mutex_unlock(&metrics->mutex);
    return &member->counter;
}

struct metric_gauge *metrics_gauge(struct metrics *metrics, const char *name, const char *help,
                                   const struct metric_label *labels)
{
    bool created = false;
    pthread_mutex_lock(&metrics->mutex);
    struct metric_member *member =
        find_member(metrics, name, help, METRIC_TYPE_GAUGE, labels, &created);
    pthread_mutex_unlock(&metrics->mutex);
    return &member->gauge;
}

void metrics_gauge_function(struct metrics *metrics, const char *name, const char *help,
                            const struct metric_label *labels, double (*read)(void *user),
                            void *user)
{
    bool created = false;
    pthread_mutex_lock(&metrics->mutex);
    struct metric_member *member =
        find_member(metrics, name, help, METRIC_TYPE_GAUGE, labels, &created);
    member->gauge.read = read;
    member->gauge.user = user;
    pthread_mutex_unlock(&metrics->mutex);
}

struct metric_histogram *metrics_histogram(struct metrics *metrics, const char *name,
                                           const char *help, const struct metric_label *labels,
                                           const double *bounds, size_t bound_count)
{
    g_assert(bound_count <= METRIC_BUCKETS_MAX);
    bool created = false;
    pthread_mutex_lock(&metrics->mutex);
    struct metric_member *member =
        find_member(metrics, name, help, METRIC_TYPE_HISTOGRAM, labels, &created);
    struct metric_histogram *histogram = &member->histogram;
    if (created) {
        histogram->bound_count = bound_count;
        memcpy(histogram->bounds, bounds, bound_count * sizeof(bounds[0]));
    }
    pthread_mutex_unlock(&metrics->mutex);
    return histogram;
}

void metric_counter_add(struct metric_counter *counter, uint64_t amount)
{
    atomic_fetch_add_explicit(&counter->value, amount, memory_order_relaxed);
}

uint64_t metric_counter_value(const struct metric_counter *counter)
{
    return atomic_load_explicit(&counter->value, memory_order_relaxed);
}

void metric_gauge_set(struct metric_gauge *gauge, int64_t value)
{
    atomic_store_explicit(&gauge->value, value, memory_order_relaxed);
}

void metric_gauge_add(struct metric_gauge *gauge, int64_t amount)
{
    atomic_fetch_add_explicit(&gauge->value, amount, memory_order_relaxed);
}

int64_t metric_gauge_value(const struct metric_gauge *gauge)
{
    return atomic_load_explicit(&gauge->value, memory_order_relaxed);
}

static uint64_t bits_of(double value)
{
    uint64_t bits = 0;
    memcpy(&bits, &value, sizeof(bits));
    return bits;
}

static double double_of(uint64_t bits)
{
    double value = 0;
    memcpy(&value, &bits, sizeof(value));
    return value;
}

static void add_to_sum(struct metric_histogram *histogram, double value)
{
    uint64_t before = atomic_load_explicit(&histogram->sum_bits, memory_order_relaxed);
    uint64_t after = 0;
    do {
        after = bits_of(double_of(before) + value);
    } while (!atomic_compare_exchange_weak_explicit(&histogram->sum_bits, &before, after,
                                                    memory_order_relaxed, memory_order_relaxed));
}

void metric_histogram_observe(struct metric_histogram *histogram, double value)
{
    size_t bucket = 0;
    while (bucket < histogram->bound_count && value > histogram->bounds[bucket]) {
        bucket++;
    }
    atomic_fetch_add_explicit(&histogram->buckets[bucket], 1, memory_order_relaxed);
    add_to_sum(histogram, value);
}

uint64_t metric_histogram_count(const struct metric_histogram *histogram)
{
    uint64_t count = 0;
    for (size_t i = 0; i <= histogram->bound_count; i++) {
        count += atomic_load_explicit(&histogram->buckets[i], memory_order_relaxed);
    }
    return count;
}

/* Appends 15 significant digits, or 17 where 15 do not read back as the same number. */
static void append_double(GString *out, double value)
{
    if (isnan(value)) {
        g_string_append(out, "NaN");
        return;
    }
    if (isinf(value)) {
        g_string_append(out, value > 0 ? "+Inf" : "-Inf");
        return;
    }
    char text[G_ASCII_DTOSTR_BUF_SIZE];
    g_ascii_formatd(text, sizeof(text), "%.15g", value);
    if (g_ascii_strtod(text, NULL) != value) {
        g_ascii_dtostr(text, sizeof(text), value);
    }
    g_string_append(out, text);
}

/* Appends `name{labels} `. */
static void append_sample_name(GString *out, const char *name, const char *suffix,
                               const char *labels)
{
    g_string_append(out, name);
    g_string_append(out, suffix);
    if (labels[0] != '\0') {
        g_string_append_printf(out, "{%s}", labels);
    }
    g_string_append_c(out, ' ');
}

static void render_gauge(GString *out, const char *name, const struct metric_member *member)
{
    const struct metric_gauge *gauge = &member->gauge;
    append_sample_name(out, name, "", member->labels);
    if (gauge->read != NULL) {
        append_double(out, gauge->read(gauge->user));
    } else {
        g_string_append_printf(out, "%" G_GINT64_FORMAT, metric_gauge_value(gauge));
    }
    g_string_append_c(out, '\n');
}

static void render_bucket(GString *out, const char *name, const struct metric_member *member,
                          double bound, uint64_t count)
{
    g_string_append_printf(out, "%s_bucket{%s%sle=\"", name, member->labels,
                           member->labels[0] == '\0' ? "" : ",");
    append_double(out, bound);
    g_string_append_printf(out, "\"} %" G_GUINT64_FORMAT "\n", count);
}

static void render_histogram(GString *out, const char *name, const struct metric_member *member)
{
    const struct metric_histogram *histogram = &member->histogram;
    uint64_t count = 0;
    for (size_t i = 0; i <= histogram->bound_count; i++) {
        count += atomic_load_explicit(&histogram->buckets[i], memory_order_relaxed);
        double bound = i < histogram->bound_count ? histogram->bounds[i] : INFINITY;
        render_bucket(out, name, member, bound, count);
    }
    append_sample_name(out, name, "_sum", member->labels);
    append_double(out, double_of(atomic_load_explicit(&histogram->sum_bits, memory_order_relaxed)));
    g_string_append_c(out, '\n');
    append_sample_name(out, name, "_count", member->labels);
    g_string_append_printf(out, "%" G_GUINT64_FORMAT "\n", count);
}

static void render_counter(GString *out, const char *name, const struct metric_member *member)
{
    append_sample_name(out, name, "", member->labels);
    g_string_append_printf(out, "%" G_GUINT64_FORMAT "\n", metric_counter_value(&member->counter));
}

static void append_head(GString *out, const char *name, const char *help, const char *type)
{
    g_string_append_printf(out, "# HELP %s ", name);
    append_escaped(out, help, false);
    g_string_append_printf(out, "\n# TYPE %s %s\n", name, type);
}

static void render_family(GString *out, const struct metric_family *family)
{
    static const struct {
        const char *name;
        void (*render)(GString *out, const char *name, const struct metric_member *member);
    } types[] = {
        [METRIC_TYPE_COUNTER] = {"counter", render_counter},
        [METRIC_TYPE_GAUGE] = {"gauge", render_gauge},
        [METRIC_TYPE_HISTOGRAM] = {"histogram", render_histogram},
    };
    append_head(out, family->name, family->help, types[family->type].name);
    for (guint i = 0; i < family->members->len; i++) {
        types[family->type].render(out, family->name, g_ptr_array_index(family->members, i));
    }
}

void metrics_append_head(GString *out, const char *name, const char *help,
                         enum metric_family_type type)
{
    append_head(out, name, help, type == METRIC_FAMILY_COUNTER ? "counter" : "gauge");
}

void metrics_append_sample(GString *out, const char *name, const struct metric_label *labels,
                           double value)
{
    g_autofree char *text = render_labels(labels);
    append_sample_name(out, name, "", text);
    append_double(out, value);
    g_string_append_c(out, '\n');
}

void metrics_collector(struct metrics *metrics, void (*collect)(GString *out, void *user),
                       void *user)
{
    g_assert(metrics->collect == NULL);
    metrics->collect = collect;
    metrics->collect_user = user;
}

void metrics_render(struct metrics *metrics, GString *out)
{
    pthread_mutex_lock(&metrics->mutex);
    for (guint i = 0; i < metrics->families->len; i++) {
        render_family(out, g_ptr_array_index(metrics->families, i));
    }
    pthread_mutex_unlock(&metrics->mutex);
    if (metrics->collect != NULL) {
        metrics->collect(out, metrics->collect_user);
    }
}
