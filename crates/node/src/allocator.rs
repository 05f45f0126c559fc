//! Settings of the C library's allocator, so that freed memory returns to the system.
//!
//! By default the allocator raises the size from which a block is mapped separately as soon as such a block is freed, up to 32 MiB;
//! smaller blocks are taken from a heap that shrinks only at its end. Elsewhere than on glibc the functions do nothing.

/// Blocks of at least this many bytes are mapped separately, and unmapped when they are freed.
#[cfg(target_env = "gnu")]
const MMAP_THRESHOLD: libc::c_int = 128 << 10;
/// Free bytes at the end of the heap from which the heap is shrunk.
#[cfg(target_env = "gnu")]
const TRIM_THRESHOLD: libc::c_int = 512 << 10;

/// Keeps the thresholds of the allocator fixed for the process.
#[cfg(target_env = "gnu")]
pub(crate) fn limit_retention() {
    // SAFETY: mallopt(3) has no preconditions.
    unsafe {
        libc::mallopt(libc::M_MMAP_THRESHOLD, MMAP_THRESHOLD);
        libc::mallopt(libc::M_TRIM_THRESHOLD, TRIM_THRESHOLD);
    }
}

/// Returns the free pages of the heap to the system.
#[cfg(target_env = "gnu")]
pub(crate) fn release_unused() {
    // SAFETY: malloc_trim(3) has no preconditions.
    unsafe {
        libc::malloc_trim(0);
    }
}

#[cfg(not(target_env = "gnu"))]
pub(crate) fn limit_retention() {}

#[cfg(not(target_env = "gnu"))]
pub(crate) fn release_unused() {}
