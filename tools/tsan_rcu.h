/* Included before every file of builds for ThreadSanitizer (b_sanitize=thread). liburcu 0.13 orders
 * memory by fences, which ThreadSanitizer does not see. These wrappers annotate publication,
 * dereference and the end of read-side sections for it, without a change of behaviour. */
#ifndef SW_TOOLS_TSAN_RCU_H
#define SW_TOOLS_TSAN_RCU_H

#include <sanitizer/tsan_interface.h>
#include <stdlib.h>
#include <urcu-bp.h>

/* The synchronisation variable that represents the order established by a grace period. */
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

/* A callback that runs after the grace period, and the original callback that it wraps. */
struct tsan_rcu_callback {
    struct rcu_head head;
    struct rcu_head *original;
    void (*function)(struct rcu_head *head);
};

static inline void tsan_run_callback(struct rcu_head *head)
{
    struct tsan_rcu_callback *callback = caa_container_of(head, struct tsan_rcu_callback, head);
    __tsan_acquire(&tsan_rcu_grace_period);
    callback->function(callback->original);
    free(callback);
}

static inline void tsan_call_rcu(struct rcu_head *head, void (*function)(struct rcu_head *head))
{
    struct tsan_rcu_callback *callback = malloc(sizeof(*callback));
    callback->original = head;
    callback->function = function;
    __tsan_release(&tsan_rcu_grace_period);
    urcu_bp_call_rcu(&callback->head, tsan_run_callback);
}

#undef rcu_read_unlock
#define rcu_read_unlock() tsan_rcu_read_unlock()

#undef synchronize_rcu
#define synchronize_rcu() tsan_synchronize_rcu()

#undef call_rcu
#define call_rcu(head, function) tsan_call_rcu(head, function)

#endif
