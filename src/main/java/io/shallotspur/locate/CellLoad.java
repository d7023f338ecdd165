package io.shallotspur.locate;

/**
 * How busy a cell is. Immutable.
 *
 * @param cell the name of the cell
 * @param load from 0 (idle) to 1 (full)
 * @param ageMs how long ago it was measured, in milliseconds
 */
public record CellLoad(String cell, double load, long ageMs) {

}
