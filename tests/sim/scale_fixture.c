/* Helpers for tests of the simulated fleet. */
#include "scale_fixture.h"

struct scale_fleet *fixture_fleet(uint32_t zones, uint32_t daemons, uint32_t databases,
                                  uint32_t seed)
{
    struct scale_fleet_options options;
    scale_fleet_options_default(&options, daemons, databases, seed);
    options.network.zones = zones;
    options.encode = false;
    return scale_fleet_new(&options);
}

enum member_state fixture_state(struct scale_fleet *fleet, uint32_t observer, uint32_t about)
{
    struct member member;
    bool known = membership_find(scale_fleet_membership(fleet, observer),
                                 scale_fleet_id(fleet, about), &member);
    return known ? member.state : MEMBER_STATE_LEFT;
}

uint32_t fixture_count_running(struct scale_fleet *fleet)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < scale_fleet_daemons(fleet); i++) {
        count += scale_fleet_is_running(fleet, i);
    }
    return count;
}

/* Number of live members in one daemon's view. */
static uint32_t count_live(const struct membership *membership)
{
    uint32_t count = 0;
    for (size_t i = 0; i < membership_count(membership); i++) {
        enum member_state state = membership_get(membership, i).state;
        count += state == MEMBER_STATE_ALIVE || state == MEMBER_STATE_SUSPECT;
    }
    return count;
}

bool fixture_views_agree(struct scale_fleet *fleet)
{
    uint32_t running = fixture_count_running(fleet);
    for (uint32_t i = 0; i < scale_fleet_daemons(fleet); i++) {
        if (!scale_fleet_is_running(fleet, i)) {
            continue;
        }
        if (count_live(scale_fleet_membership(fleet, i)) != running) {
            return false;
        }
        for (uint32_t j = 0; j < scale_fleet_daemons(fleet); j++) {
            bool alive = fixture_state(fleet, i, j) == MEMBER_STATE_ALIVE;
            if (alive != scale_fleet_is_running(fleet, j)) {
                return false;
            }
        }
    }
    return true;
}

uint32_t fixture_count_state(struct scale_fleet *fleet, uint32_t about, enum member_state state)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < scale_fleet_daemons(fleet); i++) {
        bool counts = scale_fleet_is_running(fleet, i) && i != about;
        count += counts && fixture_state(fleet, i, about) == state;
    }
    return count;
}

uint32_t fixture_count_serving(struct scale_fleet *fleet, uint64_t version)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < scale_fleet_daemons(fleet); i++) {
        if (!scale_fleet_is_running(fleet, i)) {
            continue;
        }
        const struct currency *currency = scale_fleet_currency(fleet, i);
        count += currency_serving(currency) && currency_applied(currency).version >= version;
    }
    return count;
}
