/* Reads an HTTP answer of a daemon into what a caller knows after it. */
#ifndef SW_LOAD_HTTP_ANSWER_H
#define SW_LOAD_HTTP_ANSWER_H

#include "load/client.h"

/* Takes one header line, without its line end, into the answer. */
void http_answer_header(struct client_answer *answer, const char *line);

/* Takes the body. One that is no valid answer makes the outcome ATTEMPT_LOST. `wants_rows` for a
 * read. */
void http_answer_body(struct client_answer *answer, const char *body, bool wants_rows);

#endif
