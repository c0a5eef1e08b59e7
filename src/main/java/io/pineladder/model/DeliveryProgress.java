package io.pineladder.model;

/**
 * The delivery progress of a subscription.
 *
 * @param lastNumber the number, among all notifications, of the last one that the subscriber has
 *     confirmed
 * @param lastSequence the sequence number of that notification within the subscription, which
 *     counts only notifications that its filters match
 * @param firstLostSequence the sequence number of the first notification up to {@code lastSequence}
 *     that was not retained and whose loss has not been reported to the subscriber; 0 if none
 */
public record DeliveryProgress(long lastNumber, long lastSequence, long firstLostSequence) {}
