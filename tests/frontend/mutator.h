/* Seeded mutations of a committed corpus, for parsers of untrusted input. */
#ifndef SW_TESTS_FRONTEND_MUTATOR_H
#define SW_TESTS_FRONTEND_MUTATOR_H

#include <glib.h>

struct mutator {
    GRand *random;
    GPtrArray *corpus; /* of GBytes */
};

/* Reads all files of a directory beside the tests' sources, in order of their names. */
void mutator_open(struct mutator *mutator, const char *directory, guint32 seed);

/* As mutator_open, but each line of each file is a separate text. */
void mutator_open_lines(struct mutator *mutator, const char *directory, guint32 seed);

void mutator_close(struct mutator *mutator);

/* A text of the corpus with one to three mutations; the caller frees it. */
GByteArray *mutator_next(struct mutator *mutator);

/* Changes a text in place. */
void mutator_change(struct mutator *mutator, GByteArray *text);

#endif
