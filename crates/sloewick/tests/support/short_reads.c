/* Library for LD_PRELOAD: every second recv of a thread fails with EINTR, and the others return at most 7 bytes. Linux allows both. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <sys/socket.h>

enum { MAX_READ = 7 };

ssize_t recv(int fd, void *bytes, size_t length, int flags) {
    static ssize_t (*system_recv)(int, void *, size_t, int);
    static __thread int interrupted;
    if (!system_recv) {
        *(void **)&system_recv = dlsym(RTLD_NEXT, "recv");
    }
    interrupted = !interrupted;
    if (interrupted) {
        errno = EINTR;
        return -1;
    }
    return system_recv(fd, bytes, length < MAX_READ ? length : MAX_READ, flags);
}
