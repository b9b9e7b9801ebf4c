/* Ports for programs under test. */
#ifndef SW_TESTS_POOLER_FREE_PORT_H
#define SW_TESTS_POOLER_FREE_PORT_H

#include <stdint.h>

/* A port of 127.0.0.1 that nothing listens at now. */
uint16_t free_port(void);

#endif
