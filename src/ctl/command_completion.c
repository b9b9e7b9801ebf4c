/* swiftctl completion: writes the shell's completion script. It is generated from the table of
 * commands and the options that each command lists, so that it matches them. */
#include <string.h>

#include "ctl/commands.h"

/* Characters of the words in a list of choices, such as "table|json". */
#define LOWER_CASE "abcdefghijklmnopqrstuvwxyz-"

/* What one command accepts, as text of the script. */
struct listing {
    const struct command *command;
    GString *options; /* all options, each preceded by a blank */
    GString *values;  /* lines of the script, for options with a fixed choice of values */
};

static bool is_choice(const char *word)
{
    return word[0] != '\0' && strspn(word, LOWER_CASE) == strlen(word);
}

/* The lower-case words of a list with these separators. Other words are placeholders for any text.
 */
static char *choices_of(const char *list, const char *separators)
{
    g_auto(GStrv) words = g_strsplit_set(list, separators, -1);
    GString *choices = g_string_new(NULL);
    for (guint i = 0; words[i] != NULL; i++) {
        if (is_choice(words[i])) {
            g_string_append_printf(choices, "%s%s", choices->len > 0 ? " " : "", words[i]);
        }
    }
    return g_string_free(choices, FALSE);
}

static void list_values(struct listing *listing, const GOptionEntry *entry)
{
    const char *name = listing->command->name;
    g_autofree char *choices = choices_of(entry->arg_description, "|");
    g_string_append_printf(listing->values, "    '%s --%s'", name, entry->long_name);
    if (entry->short_name != 0) {
        g_string_append_printf(listing->values, "|'%s -%c'", name, entry->short_name);
    }
    g_string_append_printf(listing->values, ") words='%s' ;;\n", choices);
}

/* Adds one list of a command's options. */
static void list_entries(void *user, const GOptionEntry *entries)
{
    struct listing *listing = user;
    for (const GOptionEntry *entry = entries; entry->long_name != NULL; entry++) {
        g_string_append_printf(listing->options, " --%s", entry->long_name);
        if (entry->short_name != 0) {
            g_string_append_printf(listing->options, " -%c", entry->short_name);
        }
        if (entry->arg_description != NULL) {
            list_values(listing, entry);
        }
    }
}

/* Collects the options of a command by its `list` callback. */
static void list_command(const struct command *command, GString *cases, GString *values)
{
    struct listing listing = {command, g_string_new(NULL), values};
    struct invocation invocation = {.list = list_entries, .list_user = &listing};
    g_autofree char *operands = choices_of(command->operands, " |[]");
    command->run(command, &invocation);
    g_string_append_printf(cases, "    %s) options='%s' operands='%s' ;;\n", command->name,
                           listing.options->str + 1, operands);
    g_string_free(listing.options, TRUE);
}

static const char script_start[] =
    "# Completion of swiftctl for bash, made by \"swiftctl completion bash\".\n"
    "_swiftctl()\n"
    "{\n"
    "    local word=${COMP_WORDS[COMP_CWORD]} before=${COMP_WORDS[COMP_CWORD - 1]}\n"
    "    local command=${COMP_WORDS[1]} options='' operands='' words=''\n"
    "    if [ \"$word\" = '=' ]; then\n"
    "        word=''\n"
    "    elif [ \"$before\" = '=' ] && [ \"$COMP_CWORD\" -gt 2 ]; then\n"
    "        before=${COMP_WORDS[COMP_CWORD - 2]}\n"
    "    fi\n"
    "    COMPREPLY=()\n";

/* For an option that takes any text nothing is offered, so that the shell completes file names. */
static const char script_end[] =
    "    *)\n"
    "        case $word in\n"
    "        -*) words=$options ;;\n"
    "        *) [ \"$COMP_CWORD\" -eq 2 ] && words=$operands ;;\n"
    "        esac\n"
    "        ;;\n"
    "    esac\n"
    "    mapfile -t COMPREPLY < <(compgen -W \"$words\" -- \"$word\")\n"
    "}\n"
    "complete -o default -F _swiftctl swiftctl\n";

static void write_bash(GString *output)
{
    guint count = 0;
    const struct command *const *commands = command_list(&count);
    g_autoptr(GString) names = g_string_new("--help");
    g_autoptr(GString) cases = g_string_new(NULL);
    g_autoptr(GString) values = g_string_new(NULL);
    for (guint i = 0; i < count; i++) {
        g_string_append_printf(names, " %s", commands[i]->name);
        list_command(commands[i], cases, values);
    }
    g_string_append(output, script_start);
    g_string_append_printf(output,
                           "    if [ \"$COMP_CWORD\" -eq 1 ]; then\n"
                           "        mapfile -t COMPREPLY < <(compgen -W '%s' -- \"$word\")\n"
                           "        return\n"
                           "    fi\n",
                           names->str);
    g_string_append_printf(output, "    case $command in\n%s    *) return ;;\n    esac\n",
                           cases->str);
    g_string_append_printf(output, "    case \"$command $before\" in\n%s", values->str);
    g_string_append(output, script_end);
}

static enum exit_code run_completion(const struct command *command, struct invocation *invocation)
{
    enum exit_code exit_code = EXIT_CODE_DONE;

    if (!command_parse(command, invocation, NULL, &exit_code)) {
        return exit_code;
    }
    if (strcmp(command_operand(invocation, 0), "bash") != 0) {
        return command_fail_text(invocation, EXIT_CODE_USAGE, "usage", "completion bash");
    }
    write_bash(invocation->output);
    return exit_code;
}

const struct command command_completion = {
    .name = "completion",
    .operands = "bash",
    .summary = "Writes a script that completes commands and options in the shell.",
    .examples = "  source <(swiftctl completion bash)\n",
    .operands_min = 1,
    .operands_max = 1,
    .run = run_completion,
};
