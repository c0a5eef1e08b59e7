package io.pineladder.model;

/**
 * What a subscriber has confirmed.
 *
 * @param number the last notice that it needs no more, by the number among all
 * @param sequence the same by its own count, which leaves out what is not for it
 * @param lostFrom the first of those up to {@code sequence} that could not be kept and that it has
 *     not been told of, by its own count; 0 for none
 */
public record DeliveryProgress(long lastNumber, long lastSequence, long firstLostSequence) {}
