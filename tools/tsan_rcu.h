/* Included before every file of the ThreadSanitizer build (make test-tsan). liburcu 0.13 orders memory
 * by fences, which ThreadSanitizer does not see: here publication, dereference and the end of read-side
 * sections are told to it. What the code does stays the same. */
#ifndef SW_TOOLS_TSAN_RCU_H
#define SW_TOOLS_TSAN_RCU_H

#include <sanitizer/tsan_interface.h>
#include <urcu-bp.h>

/* Stands for the order that a grace period makes. */
__attribute__((weak)) char tsan_rcu_grace_period;

#undef rcu_dereference
#define rcu_dereference(pointer) __atomic_load_n(&(pointer), __ATOMIC_ACQUIRE)

#undef rcu_assign_pointer
#define rcu_assign_pointer(pointer, value) __atomic_store_n(&(pointer), (value), __ATOMIC_RELEASE)

static inline void tsan_rcu_read_unlock(void)
{
    __tsan_release(&tsan_rcu_grace_period);
    urcu_bp_read_unlock();
}

static inline void tsan_synchronize_rcu(void)
{
    urcu_bp_synchronize_rcu();
    __tsan_acquire(&tsan_rcu_grace_period);
}

#undef rcu_read_unlock
#define rcu_read_unlock() tsan_rcu_read_unlock()

#undef synchronize_rcu
#define synchronize_rcu() tsan_synchronize_rcu()

#endif
