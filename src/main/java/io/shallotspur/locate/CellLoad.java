package io.shallotspur.locate;

/**
 * A measured load of a cell. Immutable.
 *
 * @param cell the name of the cell
 * @param load from 0 (idle) to 1 (full)
 * @param ageMs age of the measurement, in milliseconds
 */
public record CellLoad(String cell, double load, long ageMs) {

}
