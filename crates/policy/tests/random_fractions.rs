//! The sequence of random fractions is part of the behaviour and must stay identical bit for bit.

use policy::random::RandomFractions;

#[test]
fn sequence_equals_reference_splitmix64() {
    // Printed by a hand-written implementation of SplitMix64, which the library replaces.
    let expected: [(u64, [u64; 6]); 3] = [
        (
            0,
            [
                0x3fec_4415_072f_63b9,
                0x3fdb_9e27_9aa8_6e58,
                0x3f9b_1174_6200_2500,
                0x3fef_1177_150e_4990,
                0x3fbb_3989_6a51_a870,
                0x3fd4_f2e7_c31d_1fa8,
            ],
        ),
        (
            7,
            [
                0x3fd8_f2f8_7916_4c82,
                0x3f91_30f3_5fd0_f180,
                0x3fec_d308_1017_5625,
                0x3fe2_a75d_6e0c_e7c5,
                0x3fdc_f4ce_d99a_8788,
                0x3fcf_ed5f_4365_df54,
            ],
        ),
        (
            !7,
            [
                0x3fe1_1f94_032b_bccf,
                0x3fe3_ad8a_2a7d_5808,
                0x3fc1_2a36_2db3_e8c4,
                0x3fdf_2d0b_09d6_47a6,
                0x3fda_de48_2ee2_7a0a,
                0x3fe9_0045_c577_eca7,
            ],
        ),
    ];
    for (seed, bits) in expected {
        let mut random = RandomFractions::new(seed);
        let drawn = [(); 6].map(|()| random.next_fraction().to_bits());
        assert_eq!(drawn, bits, "seed {seed}");
    }
}
