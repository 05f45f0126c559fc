/* Library for LD_PRELOAD: system calls fail or transfer fewer bytes than requested, as Linux allows. Environment:
 * FAILING_CALLS: pairs CALL=ERRNO, each followed by a comma; errno 0 is a short transfer. Calls: socket, socketpair, accept4,
 * connect, epoll_create1, epoll_ctl, epoll_wait, recv, send, writev, fcntl (F_DUPFD_CLOEXEC only), open64 (the configuration
 * file only), write (regular files only; writes half of the bytes, rounded down, before it fails), rename.
 * FAILING_TIMES: number of these calls that fail, counted from the first one.
 * FAILING_PERCENT: percentage of these calls that fail at random; used only if FAILING_TIMES is not set. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/types.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum { SUCCEEDS = -1, SHORT = 0, MAX_SHORT_TRANSFER = 7, MAX_PAIR = 32 };

static uint32_t next_random(void) {
    static __thread uint32_t state;
    if (!state) {
        struct timespec now;
        clock_gettime(CLOCK_MONOTONIC, &now);
        state = ((uint32_t)now.tv_nsec ^ (uint32_t)getpid()) | 1;
    }
    state ^= state << 13;
    state ^= state >> 17;
    state ^= state << 5;
    return state;
}

/* Whether this one of the calls in FAILING_CALLS fails. */
static int should_fail(void) {
    static atomic_int calls;
    const char *times = getenv("FAILING_TIMES");
    if (times) {
        return atomic_fetch_add(&calls, 1) < atoi(times);
    }
    const char *percent = getenv("FAILING_PERCENT");
    return percent && next_random() % 100 < (uint32_t)atoi(percent);
}

/* Returns SUCCEEDS, SHORT for a short transfer, or the error with which this call fails; stores the error in errno. */
static int failure(const char *call) {
    char pair[MAX_PAIR];
    snprintf(pair, sizeof pair, "%s=", call);
    const char *calls = getenv("FAILING_CALLS");
    const char *found = calls ? strstr(calls, pair) : NULL;
    if (!found || !should_fail()) {
        return SUCCEEDS;
    }
    int error = atoi(found + strlen(pair));
    if (error != SHORT) {
        errno = error;
    }
    return error;
}

static int fails(const char *call) {
    return failure(call) > 0;
}

#define SYSTEM_CALL(name) dlsym(RTLD_NEXT, name)

int socket(int domain, int type, int protocol) {
    int (*system_socket)(int, int, int) = SYSTEM_CALL("socket");
    return fails("socket") ? -1 : system_socket(domain, type, protocol);
}

int socketpair(int domain, int type, int protocol, int pair[2]) {
    int (*system_socketpair)(int, int, int, int *) = SYSTEM_CALL("socketpair");
    return fails("socketpair") ? -1 : system_socketpair(domain, type, protocol, pair);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    int (*system_accept4)(int, struct sockaddr *, socklen_t *, int) = SYSTEM_CALL("accept4");
    return fails("accept4") ? -1 : system_accept4(fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    int (*system_connect)(int, const struct sockaddr *, socklen_t) = SYSTEM_CALL("connect");
    return fails("connect") ? -1 : system_connect(fd, address, length);
}

int epoll_create1(int flags) {
    int (*system_epoll_create1)(int) = SYSTEM_CALL("epoll_create1");
    return fails("epoll_create1") ? -1 : system_epoll_create1(flags);
}

int epoll_ctl(int poll, int operation, int fd, struct epoll_event *event) {
    int (*system_epoll_ctl)(int, int, int, struct epoll_event *) = SYSTEM_CALL("epoll_ctl");
    return fails("epoll_ctl") ? -1 : system_epoll_ctl(poll, operation, fd, event);
}

int epoll_wait(int poll, struct epoll_event *events, int count, int timeout) {
    int (*system_epoll_wait)(int, struct epoll_event *, int, int) = SYSTEM_CALL("epoll_wait");
    return fails("epoll_wait") ? -1 : system_epoll_wait(poll, events, count, timeout);
}

static size_t short_length(size_t length) {
    return length > MAX_SHORT_TRANSFER ? MAX_SHORT_TRANSFER : length;
}

ssize_t recv(int fd, void *bytes, size_t length, int flags) {
    ssize_t (*system_recv)(int, void *, size_t, int) = SYSTEM_CALL("recv");
    int error = failure("recv");
    return error > 0 ? -1 : system_recv(fd, bytes, error == SHORT ? short_length(length) : length, flags);
}

ssize_t send(int fd, const void *bytes, size_t length, int flags) {
    ssize_t (*system_send)(int, const void *, size_t, int) = SYSTEM_CALL("send");
    int error = failure("send");
    return error > 0 ? -1 : system_send(fd, bytes, error == SHORT ? short_length(length) : length, flags);
}

ssize_t writev(int fd, const struct iovec *chunks, int count) {
    ssize_t (*system_writev)(int, const struct iovec *, int) = SYSTEM_CALL("writev");
    int error = failure("writev");
    if (error == SHORT && count > 0) {
        struct iovec first = chunks[0];
        first.iov_len = short_length(first.iov_len);
        return system_writev(fd, &first, 1);
    }
    return error > 0 ? -1 : system_writev(fd, chunks, count);
}

/* fcntl and fcntl64: only duplicating a descriptor can fail. */
static int fcntl_or_fail(const char *name, int fd, int command, void *argument) {
    int (*system_fcntl)(int, int, ...) = SYSTEM_CALL(name);
    return command == F_DUPFD_CLOEXEC && fails("fcntl") ? -1 : system_fcntl(fd, command, argument);
}

int fcntl(int fd, int command, ...) {
    va_list arguments;
    va_start(arguments, command);
    void *argument = va_arg(arguments, void *);
    va_end(arguments);
    return fcntl_or_fail("fcntl", fd, command, argument);
}

int fcntl64(int fd, int command, ...) {
    va_list arguments;
    va_start(arguments, command);
    void *argument = va_arg(arguments, void *);
    va_end(arguments);
    return fcntl_or_fail("fcntl64", fd, command, argument);
}

int open64(const char *path, int flags, ...) {
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = va_arg(arguments, mode_t);
    va_end(arguments);
    int (*system_open64)(const char *, int, ...) = SYSTEM_CALL("open64");
    const char *configuration = getenv("BALANCER_CONFIG");
    int is_configuration = configuration && strcmp(path, configuration) == 0;
    return is_configuration && fails("open64") ? -1 : system_open64(path, flags, mode);
}

ssize_t write(int fd, const void *bytes, size_t length) {
    ssize_t (*system_write)(int, const void *, size_t) = SYSTEM_CALL("write");
    struct stat file;
    int is_file = fstat(fd, &file) == 0 && S_ISREG(file.st_mode);
    if (is_file && fails("write")) {
        int error = errno;
        /* Half of the bytes are written, as when a disk runs full. */
        system_write(fd, bytes, length / 2);
        errno = error;
        return -1;
    }
    return system_write(fd, bytes, length);
}

int rename(const char *from, const char *to) {
    int (*system_rename)(const char *, const char *) = SYSTEM_CALL("rename");
    return fails("rename") ? -1 : system_rename(from, to);
}
