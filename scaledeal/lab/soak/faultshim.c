/*
 * faultshim: fault injection for one process, loaded with LD_PRELOAD.
 *
 * The file named by SCALEDEAL_FAULTS is mapped as one shared control page. A process that maps the same file can
 * step this process's wall clock and make its system calls fail while it runs. If the variable is not set, all calls
 * pass through unchanged.
 * The layout of struct control is repeated in scaledeal/lab/soak/shim.py.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum call { CALL_ACCEPT, CALL_SOCKET, CALL_CONNECT, CALL_RECV, CALL_SEND, CALL_WAIT, CALL_SHORT_RECV, CALL_SHORT_SEND,
            CALL_WRITE, CALL_SYNC, CALL_POLL_CHANGE, CALL_OPTION, CALLS };

struct control {
    int64_t wall_step_ns;      /* added to the time of the wall clock */
    uint64_t seed;             /* state of the random number generator */
    uint32_t per_million[CALLS]; /* how many calls in a million fail, by enum call */
    uint64_t failed[CALLS];    /* number of failed calls so far, by enum call */
};

static struct control *control;

__attribute__((constructor)) static void map_control(void)
{
    const char *path = getenv("SCALEDEAL_FAULTS");
    if (getenv("SCALEDEAL_DIES_WITH_PARENT") != NULL)
        prctl(PR_SET_PDEATHSIG, SIGKILL); /* so that no relay outlives the driver of a soak */
    if (path == NULL)
        return;
    int descriptor = open(path, O_RDWR | O_CLOEXEC);
    if (descriptor < 0)
        return;
    void *page = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
    close(descriptor);
    if (page != MAP_FAILED)
        control = page;
}

static uint64_t draw(void)
{
    uint64_t state = control->seed ? control->seed : 88172645463325252ULL;
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    control->seed = state;
    return state >> 11;
}

static int fails(enum call call)
{
    if (control == NULL || control->per_million[call] == 0 || draw() % 1000000 >= control->per_million[call])
        return 0;
    control->failed[call]++;
    return 1;
}

static int one_of(const int *errors, size_t count)
{
    errno = errors[draw() % count];
    return -1;
}

#define ONE_OF(errors) one_of(errors, sizeof(errors) / sizeof(*(errors)))
#define NEXT(name) __typeof__(&name) next = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

int clock_gettime(clockid_t clock, struct timespec *at)
{
    NEXT(clock_gettime);
    int result = next(clock, at);
    if (result == 0 && control != NULL && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t shifted_ns = (int64_t)at->tv_sec * 1000000000 + at->tv_nsec + control->wall_step_ns;
        at->tv_sec = shifted_ns / 1000000000;
        at->tv_nsec = shifted_ns % 1000000000;
    }
    return result;
}

int gettimeofday(struct timeval *restrict at, void *restrict zone)
{
    struct timespec now;
    (void)zone;
    if (clock_gettime(CLOCK_REALTIME, &now) != 0)
        return -1;
    at->tv_sec = now.tv_sec;
    at->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *at)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (at != NULL)
        *at = now.tv_sec;
    return now.tv_sec;
}

int accept4(int descriptor, struct sockaddr *address, socklen_t *length, int flags)
{
    static const int errors[] = {ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EINTR, EPROTO, ENETDOWN, EHOSTUNREACH,
                                 EPERM, ENETUNREACH, ENOPROTOOPT, EOPNOTSUPP, EHOSTDOWN, ENONET};
    NEXT(accept4);
    return fails(CALL_ACCEPT) ? ONE_OF(errors) : next(descriptor, address, length, flags);
}

int accept(int descriptor, struct sockaddr *address, socklen_t *length)
{
    return accept4(descriptor, address, length, 0);
}

int socket(int domain, int type, int protocol)
{
    static const int errors[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
    NEXT(socket);
    return domain == AF_INET && fails(CALL_SOCKET) ? ONE_OF(errors) : next(domain, type, protocol);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length)
{
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, ETIMEDOUT, EHOSTUNREACH, EAGAIN};
    NEXT(connect);
    return address->sa_family == AF_INET && fails(CALL_CONNECT) ? ONE_OF(errors) : next(descriptor, address, length);
}

ssize_t recv(int descriptor, void *buffer, size_t size, int flags)
{
    static const int errors[] = {EINTR, EAGAIN, ENOMEM};
    NEXT(recv);
    if (fails(CALL_RECV))
        return ONE_OF(errors);
    return next(descriptor, buffer, size > 1 && fails(CALL_SHORT_RECV) ? 1 + draw() % (size < 64 ? size : 64) : size,
                flags);
}

ssize_t send(int descriptor, const void *buffer, size_t size, int flags)
{
    static const int errors[] = {EINTR, EAGAIN, ENOBUFS, ENOMEM};
    NEXT(send);
    if (fails(CALL_SEND))
        return ONE_OF(errors);
    return next(descriptor, buffer, size > 1 && fails(CALL_SHORT_SEND) ? 1 + draw() % size : size, flags);
}

int epoll_wait(int descriptor, struct epoll_event *events, int max_events, int timeout)
{
    NEXT(epoll_wait);
    if (fails(CALL_WAIT)) {
        errno = EINTR;
        return -1;
    }
    return next(descriptor, events, max_events, timeout);
}

int epoll_ctl(int descriptor, int operation, int target, struct epoll_event *event)
{
    static const int errors[] = {ENOMEM, ENOSPC};
    NEXT(epoll_ctl);
    return operation != EPOLL_CTL_DEL && fails(CALL_POLL_CHANGE) ? ONE_OF(errors)
                                                                 : next(descriptor, operation, target, event);
}

int setsockopt(int descriptor, int level, int name, const void *value, socklen_t length)
{
    static const int errors[] = {ENOMEM, ENOBUFS};
    NEXT(setsockopt);
    return level != SOL_SOCKET && fails(CALL_OPTION) ? ONE_OF(errors) : next(descriptor, level, name, value, length);
}

static int on_disk(int descriptor)
{
    struct stat status;
    return descriptor > 2 && fstat(descriptor, &status) == 0 && S_ISREG(status.st_mode);
}

ssize_t write(int descriptor, const void *buffer, size_t size)
{
    static const int errors[] = {ENOSPC, EIO};
    NEXT(write);
    return on_disk(descriptor) && fails(CALL_WRITE) ? ONE_OF(errors) : next(descriptor, buffer, size);
}

ssize_t pwrite64(int descriptor, const void *buffer, size_t size, off64_t offset)
{
    static const int errors[] = {ENOSPC, EIO};
    NEXT(pwrite64);
    return on_disk(descriptor) && fails(CALL_WRITE) ? ONE_OF(errors) : next(descriptor, buffer, size, offset);
}

int fsync(int descriptor)
{
    static const int errors[] = {EIO, ENOSPC};
    NEXT(fsync);
    return on_disk(descriptor) && fails(CALL_SYNC) ? ONE_OF(errors) : next(descriptor);
}

int fdatasync(int descriptor)
{
    static const int errors[] = {EIO, ENOSPC};
    NEXT(fdatasync);
    return on_disk(descriptor) && fails(CALL_SYNC) ? ONE_OF(errors) : next(descriptor);
}
