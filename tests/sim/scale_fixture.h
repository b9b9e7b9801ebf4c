/* A small fleet for tests: zones, daemons and helpers that look at all members' views. */
#ifndef SW_TESTS_SIM_SCALE_FIXTURE_H
#define SW_TESTS_SIM_SCALE_FIXTURE_H

#include "sim/scale_fleet.h"

#define SECONDS(n)      ((n)*NANOSECONDS_PER_SECOND)
#define MILLISECONDS(n) ((n)*NANOSECONDS_PER_MILLISECOND)

/* A fleet over `zones` zones, three to a region, without the codec. */
struct scale_fleet *fixture_fleet(uint32_t zones, uint32_t daemons, uint32_t databases,
                                  uint32_t seed);

/* The state in which one daemon holds another; LEFT also if it does not know it. */
enum member_state fixture_state(struct scale_fleet *fleet, uint32_t observer, uint32_t about);

/* True if all running daemons hold each other alive and know no other live ones. */
bool fixture_views_agree(struct scale_fleet *fleet);

/* Running daemons that hold `about` in the state. */
uint32_t fixture_count_state(struct scale_fleet *fleet, uint32_t about, enum member_state state);

/* Running daemons that serve with this configuration or a later one. */
uint32_t fixture_count_serving(struct scale_fleet *fleet, uint64_t version);

uint32_t fixture_count_running(struct scale_fleet *fleet);

#endif
