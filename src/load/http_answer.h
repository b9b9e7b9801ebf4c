/* Parses a daemon's HTTP answer into the outcome of the attempt. */
#ifndef SW_LOAD_HTTP_ANSWER_H
#define SW_LOAD_HTTP_ANSWER_H

#include "load/client.h"

/* Applies one header line, without its line end, to the answer. */
void http_answer_header(struct client_answer *answer, const char *line);

/* Applies the body. An invalid body makes the outcome ATTEMPT_LOST. `wants_rows` is set for a read.
 */
void http_answer_body(struct client_answer *answer, const char *body, bool wants_rows);

#endif
