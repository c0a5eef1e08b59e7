package io.pineladder.model;

/**
 * What a subscriber has confirmed.
 *
 * @param lastNumber the last notification that it has confirmed, by the number among all
 * @param lastSequence the same by the subscription's own sequence, which leaves out notifications
 *     that its filters exclude
 * @param firstLostSequence the first notification up to {@code lastSequence} that was not retained
 *     and that the subscriber has not been told is lost; 0 for none
 */
public record DeliveryProgress(long lastNumber, long lastSequence, long firstLostSequence) {}
