/* A small simulated fleet for tests, with helpers that check all members' views. */
#ifndef SW_TESTS_SIM_SCALE_FIXTURE_H
#define SW_TESTS_SIM_SCALE_FIXTURE_H

#include "sim/scale_fleet.h"

#define SECONDS(n)      ((n)*NANOSECONDS_PER_SECOND)
#define MILLISECONDS(n) ((n)*NANOSECONDS_PER_MILLISECOND)

/* Creates a fleet with `zones` zones, three in each region, without the codec. */
struct scale_fleet *fixture_fleet(uint32_t zones, uint32_t daemons, uint32_t databases,
                                  uint32_t seed);

/* The state that one daemon holds another to be in; LEFT also if it does not know it. */
enum member_state fixture_state(struct scale_fleet *fleet, uint32_t observer, uint32_t about);

/* True if all running daemons hold each other alive and no other daemon. */
bool fixture_views_agree(struct scale_fleet *fleet);

/* Number of running daemons that hold `about` to be in the state. */
uint32_t fixture_count_state(struct scale_fleet *fleet, uint32_t about, enum member_state state);

/* Number of running daemons that serve with this configuration or a later one. */
uint32_t fixture_count_serving(struct scale_fleet *fleet, uint64_t version);

uint32_t fixture_count_running(struct scale_fleet *fleet);

#endif
