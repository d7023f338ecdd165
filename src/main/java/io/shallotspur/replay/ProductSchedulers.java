package io.shallotspur.replay;

import java.util.Arrays;
import java.util.Collection;
import java.util.Locale;

import io.shallotspur.cell.CellFeature;
import io.shallotspur.cell.CellScheduler;
import io.shallotspur.cell.CellSettings;
import io.shallotspur.cell.StdCellScheduler;
import io.shallotspur.contract.ContractSet;
import io.shallotspur.exc.InputException;
import io.shallotspur.plain.PlainScheduler;
import io.shallotspur.plain.PlainSettings;
import io.shallotspur.plain.StdPlainScheduler;

/**
 * The schedulers that serve live traffic, with their default settings. Immutable and
 * thread-safe.
 */
final class ProductSchedulers implements Schedulers {

	private final CellSettings settings;

	ProductSchedulers(CellSettings settings) {
		this.settings = settings;
	}

	/**
	 * Makes schedulers with some mechanisms switched off.
	 * @param off names of {@link CellFeature}s, in any case, with hyphens or underscores
	 * @return what makes the schedulers
	 * @throws InputException if there is no mechanism of that name
	 */
	static ProductSchedulers without(Collection<String> off) throws InputException {
		CellSettings s = CellSettings.defaults();
		for (String name : off) {
			s = s.without(feature(name));
		}
		return new ProductSchedulers(s);
	}

	@Override
	public CellScheduler cell(ContractSet contracts, long seed) {
		return new StdCellScheduler(this.settings, contracts, seed);
	}

	@Override
	public PlainScheduler plain(ContractSet contracts, long seed) {
		return new StdPlainScheduler(PlainSettings.defaults(), contracts, seed);
	}

	private static CellFeature feature(String name) throws InputException {
		String constant = name.toUpperCase(Locale.ROOT).replace('-', '_');
		return Arrays.stream(CellFeature.values())
			.filter((f) -> f.name().equals(constant))
			.findFirst()
			.orElseThrow(() -> new InputException(
					"\"" + name + "\" is no feature; allowed: one of " + Arrays.toString(CellFeature.values()),
					"--off"));
	}

}
