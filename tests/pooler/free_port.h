/* Free ports for programs under test. */
#ifndef SW_TESTS_POOLER_FREE_PORT_H
#define SW_TESTS_POOLER_FREE_PORT_H

#include <stdint.h>

/* A port of 127.0.0.1 that is free now and was not returned before by this process. */
uint16_t free_port(void);

#endif
