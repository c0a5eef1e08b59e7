/**
 * The domain model: jobs, attempts, machines, teams, subscriptions and settings. Depends on no
 * other package. The {@code wire} package maps protocol names to the names used here.
 */
package io.pineladder.model;
