package io.shallotspur.cfg;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

import io.shallotspur.exc.InputException;
import io.shallotspur.exc.SettingsException;
import io.shallotspur.fleet.Worker;
import io.shallotspur.port.VmEntry;
import io.shallotspur.util.toml.Problems;
import io.shallotspur.util.toml.TomlTable;

/**
 * Reads and checks a settings file of the stand-ins. Stateless.
 */
public final class StandinSettingsReader {

	private static final double MAX_MS = 3_600_000;

	private StandinSettingsReader() {
	}

	/**
	 * Reads a file.
	 * @param file the settings file
	 * @return the settings
	 * @throws InputException if the file cannot be read or is not TOML
	 * @throws SettingsException if a value is not allowed; its message has one line for
	 * each problem
	 */
	public static StandinSettings read(Path file) throws InputException, SettingsException {
		Problems p = new Problems(file.toString());
		TomlTable root = TomlTable.parse(file, p);
		Endpoint store = listen(root, "store");
		TomlTable list = root.table("vm_list");
		Endpoint vmList = root.has("vm_list") ? Endpoint.read(list, "listen") : null;
		List<VmEntry> vms = list.tables("vm").stream().map(StandinSettingsReader::vm).toList();
		list.finish();
		Endpoint weights = listen(root, "weight_store");
		List<WorkerSpeeds> speeds = new ArrayList<>();
		List<UpstreamSection> upstreams = UpstreamReader.read(root.tables("upstream"),
				(t, w) -> speeds.add(speeds(t, w)));
		root.finish();
		if (!p.isEmpty()) {
			throw new SettingsException(p.toString(), file.toString());
		}
		return new StandinSettings(store, vmList, vms, weights, upstreams, speeds);
	}

	private static @Nullable Endpoint listen(TomlTable root, String key) {
		TomlTable t = root.table(key);
		Endpoint e = root.has(key) ? Endpoint.read(t, "listen") : null;
		t.finish();
		return e;
	}

	private static VmEntry vm(TomlTable t) {
		VmEntry e = new VmEntry(t.text("id"), t.text("hall"), t.text("peer_address", ""), t.text("caller_address", ""),
				t.flag("leaving", false));
		t.finish();
		return e;
	}

	private static WorkerSpeeds speeds(TomlTable t, Worker w) {
		return switch (w.role()) {
			case PREFILL -> new WorkerSpeeds(w.id(), t.number("prefill_ms_per_token", 0, MAX_MS), 0, 0, 0);
			case DECODE -> new WorkerSpeeds(w.id(), 0, t.number("step_base_ms", 0, MAX_MS),
					t.number("step_ms_per_request", 0, MAX_MS), 0);
			case PLAIN -> new WorkerSpeeds(w.id(), 0, 0, 0, t.whole("service_ms", 0, (long) MAX_MS));
		};
	}

}
