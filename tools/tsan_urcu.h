/* Included before every file in builds for ThreadSanitizer, and in no other: liburcu is not built for
 * it, so that the orders it gives are not seen. Here publishing releases and dereferencing acquires;
 * the end of a read-side critical section comes before what runs after a grace period. */
#ifndef SW_TOOLS_TSAN_URCU_H
#define SW_TOOLS_TSAN_URCU_H

#include <stdlib.h>
#include <urcu-bp.h>

void __tsan_acquire(void *address);
void __tsan_release(void *address);

/* One for the program: stands for all grace periods. */
__attribute__((weak)) char tsan_urcu_grace;

#undef rcu_dereference
#define rcu_dereference(pointer) __atomic_load_n(&(pointer), __ATOMIC_ACQUIRE)

#undef rcu_assign_pointer
#define rcu_assign_pointer(pointer, value) __atomic_store_n(&(pointer), (value), __ATOMIC_RELEASE)

static inline void tsan_urcu_read_unlock(void)
{
    __tsan_release(&tsan_urcu_grace);
    urcu_bp_read_unlock();
}
#undef rcu_read_unlock
#define rcu_read_unlock() tsan_urcu_read_unlock()

static inline void tsan_urcu_synchronize(void)
{
    urcu_bp_synchronize_rcu();
    __tsan_acquire(&tsan_urcu_grace);
}
#undef synchronize_rcu
#define synchronize_rcu() tsan_urcu_synchronize()

/* A callback that runs after the grace period, with what it stands for. */
struct tsan_urcu_callback {
    struct rcu_head head;
    struct rcu_head *original;
    void (*function)(struct rcu_head *head);
};

static inline void tsan_urcu_run(struct rcu_head *head)
{
    struct tsan_urcu_callback *callback = caa_container_of(head, struct tsan_urcu_callback, head);
    __tsan_acquire(&tsan_urcu_grace);
    callback->function(callback->original);
    free(callback);
}

static inline void tsan_urcu_call(struct rcu_head *head, void (*function)(struct rcu_head *head))
{
    struct tsan_urcu_callback *callback = malloc(sizeof(*callback));
    callback->original = head;
    callback->function = function;
    __tsan_release(&tsan_urcu_grace);
    urcu_bp_call_rcu(&callback->head, tsan_urcu_run);
}
#undef call_rcu
#define call_rcu(head, function) tsan_urcu_call(head, function)

#endif
