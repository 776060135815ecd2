/** Options for listening sockets. */

/**
 * Length of the accept queue. It must hold a burst of reconnecting callers: a SYN that finds the queue full is
 * retransmitted only after a second, then with increasing delays.
 */
export const listenBacklog = 4096;
