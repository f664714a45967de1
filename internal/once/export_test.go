package once

// RetryDelay is the minimum delay between appends of one proposer.
const RetryDelay = retryDelay
